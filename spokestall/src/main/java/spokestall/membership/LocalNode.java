package spokestall.membership;

/**
 * Identity of the node that a membership state machine runs on.
 *
 * @param name unique name of the node; a voter keeps it when its disk is replaced
 * @param address address that other nodes send messages to
 * @param proposerId second part of its proposal numbers; no two incarnations of any node share one
 */
public record LocalNode(String name, String address, String proposerId) {}
