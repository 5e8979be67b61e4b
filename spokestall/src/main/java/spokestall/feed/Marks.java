package spokestall.feed;

import java.util.Collection;
import spokestall.view.Member;

/** Long texts and lists as one number each, to be compared in their place. */
public final class Marks {
    private Marks() {}

    /** Never zero. Example: {@code Marks.of(seat.diskId())} */
    public static long of(final String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        h ^= h >>> 32;
        return h == 0 ? 1 : h;
    }

    /** The mark of what {@code where} needs of edges, in their order. Example: {@code Marks.of(feeds.freshEdges())} */
    public static long of(final Collection<Member> edges) {
        final StringBuilder all = new StringBuilder();
        for (final Member m : edges) {
            all.append(m.name())
                    .append(' ')
                    .append(m.httpAddress())
                    .append(' ')
                    .append(m.address())
                    .append(' ')
                    .append(m.district())
                    .append(' ')
                    .append(m.life())
                    .append(m.leaving())
                    .append('\n');
        }
        return of(all.toString());
    }
}
