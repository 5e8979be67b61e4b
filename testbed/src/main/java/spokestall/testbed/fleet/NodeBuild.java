package spokestall.testbed.fleet;

/**
 * A build of the node that a fleet's process runs.
 *
 * @param classPath its classes and libraries, as {@code java -cp} takes them
 * @param mainClass the class with its main method
 */
public record NodeBuild(String classPath, String mainClass) {
    /** The build that the testbed itself runs. */
    public static final NodeBuild THIS = new NodeBuild(System.getProperty("java.class.path"), "spokestall.cli.Main");

    /** The same, with a failing machine around each node. */
    static final NodeBuild WITH_FAULT_HOOKS = new NodeBuild(THIS.classPath(), FaultHookNode.class.getName());
}
