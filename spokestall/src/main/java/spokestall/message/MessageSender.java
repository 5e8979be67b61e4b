package spokestall.message;

/** Sends messages to other processes, as well as it can: a note may be lost, late or come twice. */
public interface MessageSender {
    /** Example: {@code post.send("127.0.0.1:7101", new Tick(...));} */
    void send(String address, Message message);
}
