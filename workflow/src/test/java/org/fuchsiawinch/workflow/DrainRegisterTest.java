package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Set;

import org.fuchsiawinch.workflow.drain.DrainEntry;
import org.fuchsiawinch.workflow.drain.DrainRegister;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against a drain that outlives its request because the node has read the stream anew. */
public class DrainRegisterTest {

    @Test
    public void forgetsRequestsThatANewSnapshotLacks() {
        DrainRegister register = new DrainRegister();
        register.apply(new DrainEntry("east", true));
        register.apply(new DrainEntry("west", true));
        register.replace(List.of(new DrainEntry("west", true), new DrainEntry("north", false)));
        assertEquals(register.dataCentres(), Set.of("west"));
        register.apply(new DrainEntry("west", false));
        assertEquals(register.dataCentres(), Set.of());
    }
}
