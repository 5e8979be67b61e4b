package spokestall.testbed.fleet;

/**
 * A build of the node program for a fleet's processes.
 *
 * @param classPath the build's classes and libraries, in the form of the {@code java -cp} argument
 * @param mainClass the class with its main method
 */
public record NodeBuild(String classPath, String mainClass) {
    /** The build that the testbed itself runs. */
    public static final NodeBuild THIS = new NodeBuild(System.getProperty("java.class.path"), "spokestall.cli.Main");

    /** The testbed's build, with fault hooks around each node. */
    static final NodeBuild WITH_FAULT_HOOKS = new NodeBuild(THIS.classPath(), FaultHookNode.class.getName());
}
