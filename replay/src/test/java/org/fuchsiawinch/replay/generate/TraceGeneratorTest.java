package org.fuchsiawinch.replay.generate;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.fuchsiawinch.replay.trace.TraceWriter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/** Guards against changes of the generator after which the committed sample traces can no longer be reproduced. */
public class TraceGeneratorTest {

    private static final int COMMITTED_SEED = 1;

    @DataProvider
    public Object[][] kinds() {
        return TraceKind.all().stream().map(kind -> new Object[] {kind}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "kinds")
    public void generatorReproducesCommittedSample(TraceKind kind) throws IOException {
        Path sample = Path.of("..", "samples", "traces", kind.name() + ".jsonl");
        String generated = new TraceWriter().write(new TraceGenerator().generate(kind, COMMITTED_SEED));
        assertEquals(generated, Files.readString(sample));
    }

    @Test
    public void differentSeedsGiveDifferentTraces() {
        TraceKind kind = TraceKind.all().get(0);
        TraceGenerator generator = new TraceGenerator();
        assertNotEquals(generator.generate(kind, 1), generator.generate(kind, 2));
    }
}
