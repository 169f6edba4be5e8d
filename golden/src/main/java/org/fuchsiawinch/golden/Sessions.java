package org.fuchsiawinch.golden;

import java.util.List;

/** List of all golden sessions. */
final class Sessions {

    private Sessions() {}

    /** Returns all sessions in the order of docs/design/golden-sessions.md. */
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
