package org.fuchsiawinch.testsupport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/**
 * Prints failures that are listed in KNOWN-RED.txt and turns them into skips. A listed test that passes fails the
 * build, so that its entry is removed once the fault is fixed.
 */
public class KnownRedListener implements IInvokedMethodListener {

    private static final Path KNOWN_RED_FILE = Path.of("..", "KNOWN-RED.txt");
    private static final String ENTRY_PREFIX = "test=";

    private final List<String> entries = read();

    @Override
    public void afterInvocation(IInvokedMethod method, ITestResult result) {
        if (!method.isTestMethod()) {
            return;
        }
        String name = name(result);
        List<String> matching = entries.stream()
                .filter(entry -> entry.startsWith(ENTRY_PREFIX + name + " "))
                .toList();
        if (matching.isEmpty()) {
            return;
        }
        if (result.getStatus() == ITestResult.FAILURE) {
            System.out.println("event=known-red " + matching.get(0));
            result.setStatus(ITestResult.SKIP);
        } else if (result.getStatus() == ITestResult.SUCCESS) {
            result.setStatus(ITestResult.FAILURE);
            result.setThrowable(new AssertionError("passes but is listed in KNOWN-RED.txt: " + name));
        }
    }

    private static String name(ITestResult result) {
        String parameters =
                Arrays.stream(result.getParameters()).map(String::valueOf).collect(Collectors.joining(","));
        return result.getTestClass().getRealClass().getSimpleName() + "."
                + result.getMethod().getMethodName() + "[" + parameters + "]";
    }

    private static List<String> read() {
        try {
            return Files.exists(KNOWN_RED_FILE) ? Files.readAllLines(KNOWN_RED_FILE) : List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
