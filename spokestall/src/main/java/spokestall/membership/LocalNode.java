package spokestall.membership;

/**
 * Identity of the node that a membership state machine runs on.
 *
 * @param name unique name of the node; a voter keeps it when its disk is replaced
 * @param address address to which other nodes send messages
 * @param proposerId second part of this node's proposal numbers; unique for each incarnation of each node
 */
public record LocalNode(String name, String address, String proposerId) {}
