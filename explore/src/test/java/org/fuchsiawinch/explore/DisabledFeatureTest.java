package org.fuchsiawinch.explore;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.explore.Violation.Promise;
import org.fuchsiawinch.protocol.ProtocolFeature;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Guards against an explorer that finds nothing: with a safety mechanism disabled, some schedule must break the promise
 * that the mechanism protects.
 */
public class DisabledFeatureTest {

    private static final int SEEDS = 2000;
    private static final int THREADS = 4;

    @DataProvider
    public Object[][] features() {
        return new Object[][] {
            {ProtocolFeature.READ_BACK, Promise.AT_MOST_ONCE},
            {ProtocolFeature.DEDUPLICATION, Promise.AT_MOST_ONCE},
            {ProtocolFeature.GANG_TRIAL, Promise.GANG_WHOLE},
            {ProtocolFeature.FENCING, Promise.NO_OVERCOMMIT},
            {ProtocolFeature.DOCUMENT_BASE_CHECK, Promise.DOCUMENT_ONE_WINNER},
        };
    }

    @Test(dataProvider = "features")
    public void explorerDetectsDisabledFeature(ProtocolFeature feature, Promise expected) {
        List<Promise> brokenPromises = new ArrayList<>();
        new Explorer(ProtocolFeature.without(feature)).explore(1, SEEDS, THREADS, result -> {
            result.violations().forEach(violation -> brokenPromises.add(violation.promise()));
            return !brokenPromises.contains(expected);
        });
        assertTrue(
                brokenPromises.contains(expected),
                feature + " disabled broke no " + expected + " over " + SEEDS + " seeds");
    }
}
