package org.fuchsiawinch.golden;

import java.util.List;

/** All golden sessions. */
final class Sessions {

    private Sessions() {}

    /** Gives all sessions in the order of the design note. */
    static List<Session> all() {
        return List.of(
                FestivalMorning.session(),
                ScanMatch.session(),
                Reclaim.session(),
                DocumentRace.session(),
                LogOutage.session(),
                OwnerDrain.session(),
                OwnerPaused.session());
    }
}
