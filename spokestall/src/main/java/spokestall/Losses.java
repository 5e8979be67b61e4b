package spokestall;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import spokestall.ballot.Seat;
import spokestall.settings.Settings;
import spokestall.view.Member;
import spokestall.view.View;

/** How many seats the largest loss that must be borne can take: so many cores, or districts, or regions at once. */
final class Losses implements ToIntFunction<List<Seat>> {
    private final Settings settings;
    private final View view;

    Losses(final Settings settings, final View view) {
        this.settings = settings;
        this.view = view;
    }

    @Override
    public int applyAsInt(final List<Seat> seats) {
        final int byCores = (int) settings.ms("lossCores");
        final int byDistricts = largest(seats, Member::district, (int) settings.ms("lossDistricts"));
        final int byRegions = largest(seats, Member::region, (int) settings.ms("lossRegions"));
        return Math.max(byCores, Math.max(byDistricts, byRegions));
    }

    /** The seats in so many of the places that have the most. A core whose place is not known counts as one by itself. */
    private int largest(final List<Seat> seats, final Function<Member, String> placeOf, final int places) {
        final Map<String, String> known = new HashMap<>();
        view.members().forEach(m -> known.put(m.name(), placeOf.apply(m)));
        known.put(view.self().name(), placeOf.apply(view.self()));
        final Map<String, Integer> seatsIn = new HashMap<>();
        seats.forEach(seat -> seatsIn.merge(known.getOrDefault(seat.name(), "?" + seat.name()), 1, Integer::sum));
        return seatsIn.values().stream()
                .sorted(java.util.Comparator.reverseOrder())
                .limit(places)
                .mapToInt(Integer::intValue)
                .sum();
    }
}
