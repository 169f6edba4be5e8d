package org.fuchsiawinch.explore.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.MemberState;
import org.fuchsiawinch.membership.MembershipChange;
import org.fuchsiawinch.membership.MembershipInput;
import org.fuchsiawinch.model.NodeId;

/** Runs one group through a steady phase, crashes with replacement, pauses and a planned stop. Used once. */
public final class MembershipTrial {

    private static final long JOIN_LIMIT_MS = 120_000;
    private static final long SETTLE_MS = 120_000;
    private static final long CRASH_ROUND_MS = 40_000;
    private static final long ARRIVAL_ROUND_MS = 20_000;
    private static final long PAUSE_ROUND_MS = 30_000;
    private static final long SHORT_PAUSE_MS = 2_000;
    private static final long LONG_PAUSE_MS = 10_000;
    private static final long LEAVE_LIMIT_MS = 60_000;
    private static final double MS_PER_HOUR = 3_600_000.0;
    private static final double MS_PER_S = 1_000.0;

    private final TrialSettings settings;
    private final VirtualGroup group;
    private final VirtualNetwork network;
    private final ConvergenceObserver convergence;
    private final SplittableRandom random;
    private final List<Endpoint> hosts = new ArrayList<>();
    private final Map<Integer, NodeId> byHost = new HashMap<>();
    private final DurationSamples detection = new DurationSamples();
    private final DurationSamples detectionSpread = new DurationSamples();
    private final DurationSamples arrival = new DurationSamples();
    private int missedDetections;
    private DeathDeclarations declarations = new DeathDeclarations(new NodeId("none"), 0);
    private int falseDeaths;

    /**
     * Time at which each observer first declared one crashed or paused node dead, and the number of declarations of
     * other, running nodes as dead, both since a given time.
     */
    private static final class DeathDeclarations {

        private final NodeId subject;
        private final long sinceMs;
        private final Map<NodeId, Long> firstDeclaredMs = new HashMap<>();
        private int othersDeclaredDead;

        DeathDeclarations(NodeId subject, long sinceMs) {
            this.subject = subject;
            this.sinceMs = sinceMs;
        }
    }

    /** Creates a trial with the given settings. */
    public MembershipTrial(TrialSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed() + 1);
        this.group = new VirtualGroup(settings.kind(), settings.lossPercent() / 100.0, settings.seed());
        this.network = group.network();
        this.convergence = new ConvergenceObserver(network);
    }

    /** Runs all phases and returns the results. */
    public TrialResult run() {
        start();
        AtomicLong joinMs = new AtomicLong();
        TrialResult.Traffic joinTraffic = measureTraffic(() -> joinMs.set(group.runUntilAgreed(JOIN_LIMIT_MS)));
        group.run(SETTLE_MS);
        network.listener(this::onChange);
        long startMs = network.nowMs();
        TrialResult.Traffic traffic = measureTraffic(() -> group.run(settings.steadyMs()));
        for (int i = 0; i < settings.rounds(); i++) {
            crashAndReplace();
        }
        TrialResult.Pauses shortPauses = pauses(SHORT_PAUSE_MS);
        TrialResult.Pauses longPauses = pauses(LONG_PAUSE_MS);
        double hours = (network.nowMs() - startMs) / MS_PER_HOUR;
        long leaveMs = leave();
        return new TrialResult(
                settings,
                traffic,
                joinMs.get(),
                joinTraffic,
                detection,
                missedDetections,
                detectionSpread,
                arrival,
                leaveMs,
                falseDeaths / (settings.nodes() * hours),
                shortPauses,
                longPauses,
                convergence.result());
    }

    /** Returns the virtual time elapsed, in ms. */
    public long virtualMs() {
        return network.nowMs();
    }

    private void start() {
        for (int host = 0; host < settings.nodes(); host++) {
            hosts.add(VirtualGroup.endpoint(host));
        }
        for (int host = 0; host < settings.nodes(); host++) {
            byHost.put(host, group.start(host, hosts));
        }
    }

    private TrialResult.Traffic measureTraffic(Runnable phase) {
        Map<NodeId, Long> sentBefore = new HashMap<>();
        Map<NodeId, Long> totalBefore = new HashMap<>();
        for (SimulatedNode node : network.nodes()) {
            sentBefore.put(node.id(), node.sentBytes());
            totalBefore.put(node.id(), node.sentBytes() + node.receivedBytes());
        }
        long startMs = network.nowMs();
        phase.run();
        double seconds = Math.max(VirtualNetwork.TICK_MS, network.nowMs() - startMs) / MS_PER_S;
        double sent = 0;
        double total = 0;
        double busiest = 0;
        for (SimulatedNode node : network.nodes()) {
            double nodeTotal = node.sentBytes() + node.receivedBytes() - totalBefore.get(node.id());
            sent += node.sentBytes() - sentBefore.get(node.id());
            total += nodeTotal;
            busiest = Math.max(busiest, nodeTotal);
        }
        double nodeSeconds = seconds * settings.nodes();
        return new TrialResult.Traffic(sent / nodeSeconds, total / nodeSeconds, busiest / seconds);
    }

    private void crashAndReplace() {
        int host = random.nextInt(settings.nodes());
        NodeId victim = byHost.get(host);
        network.crash(victim);
        declarations = new DeathDeclarations(victim, network.nowMs());
        runSampled(CRASH_ROUND_MS);
        recordDetection();
        NodeId replacement = group.start(host, hosts);
        byHost.put(host, replacement);
        declarations = new DeathDeclarations(victim, network.nowMs());
        long arrivedMs = runUntilRoutable(replacement);
        arrival.add(arrivedMs);
        runSampled(Math.max(0, ARRIVAL_ROUND_MS - arrivedMs));
    }

    private void recordDetection() {
        long firstMs = Long.MAX_VALUE;
        long lastMs = 0;
        for (SimulatedNode node : network.nodes()) {
            Long atMs = declarations.firstDeclaredMs.get(node.id());
            if (atMs == null) {
                missedDetections++;
                continue;
            }
            detection.add(atMs - declarations.sinceMs);
            firstMs = Math.min(firstMs, atMs);
            lastMs = Math.max(lastMs, atMs);
        }
        if (lastMs > 0) {
            detectionSpread.add(lastMs - firstMs);
        }
    }

    private long runUntilRoutable(NodeId id) {
        long startMs = network.nowMs();
        while (!routableByAll(id) && network.nowMs() - startMs < JOIN_LIMIT_MS) {
            runSampled(VirtualNetwork.TICK_MS);
        }
        return network.nowMs() - startMs;
    }

    private boolean routableByAll(NodeId id) {
        return network.nodes().stream().filter(node -> !node.id().equals(id)).allMatch(node -> node.view()
                .member(id)
                .filter(member -> member.state().routable())
                .isPresent());
    }

    private void runSampled(long forMs) {
        for (long ranMs = 0; ranMs < forMs; ranMs += VirtualNetwork.TICK_MS) {
            group.run(VirtualNetwork.TICK_MS);
            convergence.sample();
        }
    }

    private TrialResult.Pauses pauses(long pauseMs) {
        int declaredDead = 0;
        int others = 0;
        long agreedAfterMaxMs = 0;
        for (int i = 0; i < settings.rounds(); i++) {
            NodeId paused = byHost.get(random.nextInt(settings.nodes()));
            declarations = new DeathDeclarations(paused, network.nowMs());
            network.pause(paused, pauseMs);
            group.run(pauseMs);
            long agreedMs = group.runUntilAgreed(PAUSE_ROUND_MS);
            agreedAfterMaxMs = Math.max(agreedAfterMaxMs, agreedMs);
            group.run(PAUSE_ROUND_MS);
            declaredDead += declarations.firstDeclaredMs.isEmpty() ? 0 : 1;
            others += declarations.othersDeclaredDead;
        }
        return new TrialResult.Pauses(settings.rounds(), declaredDead, others, agreedAfterMaxMs);
    }

    private long leave() {
        NodeId leaving = byHost.get(0);
        long startMs = network.nowMs();
        network.deliverInput(leaving, new MembershipInput.Leave());
        while (routableByAny(leaving) && network.nowMs() - startMs < LEAVE_LIMIT_MS) {
            group.run(VirtualNetwork.TICK_MS);
        }
        return network.nowMs() - startMs;
    }

    private boolean routableByAny(NodeId id) {
        return network.nodes().stream().anyMatch(node -> node.view()
                .member(id)
                .filter(member -> member.state().routable())
                .isPresent());
    }

    private void onChange(NodeId observer, MembershipChange change, long nowMs) {
        if (change.member().state() != MemberState.DEAD) {
            return;
        }
        NodeId subject = change.member().id();
        if (subject.equals(declarations.subject)) {
            declarations.firstDeclaredMs.putIfAbsent(observer, nowMs);
            return;
        }
        if (network.nodes().stream().anyMatch(node -> node.id().equals(subject))) {
            falseDeaths++;
            declarations.othersDeclaredDead++;
        }
    }
}
