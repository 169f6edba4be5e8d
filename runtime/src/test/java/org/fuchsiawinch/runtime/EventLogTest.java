package org.fuchsiawinch.runtime;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that each event is one line of bounded length, whatever other writers have put into its values. */
public class EventLogTest {

    @Test
    public void writesPairs() {
        assertEquals(EventLog.format("started", "node", "n1", "port", 80), "event=started node=n1 port=80");
    }

    @Test
    public void quotesAndEscapesValues() {
        assertEquals(
                EventLog.format("e", "a", "x y", "b", "", "c", "\"\\="), "event=e a=\"x y\" b=\"\" c=\"\\\"\\\\=\"");
        assertEquals(EventLog.format("e", "a", "1\n2\r3"), "event=e a=\"1\\n2\\r3\"");
    }

    // Guards against terminal sequences and line breaks of other writers in the log.
    @Test
    public void escapesControlCharacters() {
        assertEquals(EventLog.format("e", "a", "\u001b[2J\u0000\u0085"), "event=e a=\"\\u001b[2J\\u0000\\u0085\"");
    }

    // Guards against a line as long as the key of another writer's entry.
    @Test
    public void boundsTheLengthOfValues() {
        String line = EventLog.format("e", "key", "k".repeat(10_000));
        assertTrue(line.length() < 500, "length " + line.length());
        assertTrue(line.endsWith("...+9600"), line);
    }
}
