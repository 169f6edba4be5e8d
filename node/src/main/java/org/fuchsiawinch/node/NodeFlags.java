package org.fuchsiawinch.node;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.node.peer.PeerList;
import org.fuchsiawinch.runtime.Setting;
import org.fuchsiawinch.runtime.SettingProblem;
import org.fuchsiawinch.runtime.Settings;
import org.fuchsiawinch.runtime.SettingsReader;

/** Settings of the node process. */
public final class NodeFlags {

    /** Name of the node. */
    public static final Setting<String> NAME = Setting.text("name", "name of the node, unique among live nodes");

    /** Address to listen on. */
    public static final Setting<String> HOST =
            Setting.text("host", "IP address to listen on").withDefault("127.0.0.1");

    /** Port to listen on. */
    public static final Setting<Long> PORT = Setting.number("port", "TCP port to listen on", 1, 65535);

    /** Data centre of the node. */
    public static final Setting<String> DATA_CENTRE =
            Setting.text("data-centre", "data centre that the node runs in").withDefault("local");

    /** URL of the platform's services. */
    public static final Setting<String> PLATFORM_URL =
            Setting.text("platform-url", "URL of the platform's services").withDefault("http://127.0.0.1:7400");

    /** Order in which nodes claim a cell without an owner. */
    public static final Setting<Long> CLAIM_RANK = Setting.number(
                    "claim-rank", "rank of the node; each rank delays its claim of a cell by one hold interval", 0, 63)
            .withDefault("0");

    /** Interval of the cell owner's heartbeat records. */
    public static final Setting<Long> HEARTBEAT_INTERVAL_MS = Setting.number(
                    "hold-every-ms",
                    "interval in ms between the cell owner's heartbeat records in the log",
                    100,
                    60_000)
            .withDefault("500");

    /** Time without a record of a cell's owner after which the cell is claimed. */
    public static final Setting<Long> OWNER_TIMEOUT_MS = Setting.number(
                    "claim-after-ms",
                    "time in ms without records of a cell's owner after which another node claims the cell",
                    500,
                    600_000)
            .withDefault("2000");

    /** Length of a worker lease. */
    public static final Setting<Long> LEASE_MS = Setting.number(
                    "lease-ms", "length in ms of a worker lease", 1000, 600_000)
            .withDefault("5000");

    /** Token that authorizes founding the document. */
    public static final Setting<String> FOUNDING_TOKEN = Setting.optionalText(
            "founding-token", "bearer token that authorizes founding the document, or empty for none");

    /** Port for other nodes. */
    public static final Setting<Long> PEER_PORT = Setting.number(
                    "peer-port", "TCP port for other nodes; 0 for a node without peers", 0, 65535)
            .withDefault("0");

    /** Peer ports of other nodes. */
    public static final Setting<List<Endpoint>> PEERS = new Setting<>(
            "peers",
            "addresses of the peer ports of some other nodes",
            Optional.of(""),
            PeerList::parse,
            "IP:PORT, separated by commas, or empty");

    /** Secret shared by all nodes. */
    public static final Setting<String> PEER_SECRET =
            Setting.optionalText("peer-secret", "secret shared by all nodes, required with peer-port");

    /** Size of the node loop's ring buffer. */
    public static final Setting<Long> RING_SIZE = Setting.number(
                    "ring-size",
                    "maximum number of inputs that wait for the node's main thread; a power of two",
                    64,
                    1_048_576)
            .withDefault("16384");

    /** Maximum size of an HTTP body. */
    public static final Setting<Long> BODY_LIMIT_BYTES = Setting.number(
                    "body-limit-bytes", "maximum size of an HTTP body in bytes", 1024, 16_777_216)
            .withDefault("262144");

    private NodeFlags() {}

    /**
     * Checks rules that the range of a single setting cannot express.
     *
     * @param settings settings that are valid individually
     * @return the first problem, or empty if there is none
     */
    public static Optional<SettingProblem> check(Settings settings) {
        boolean peers = settings.value(PEER_PORT) > 0;
        if (peers && settings.value(PEER_SECRET).isEmpty()) {
            return Optional.of(new SettingProblem(
                    SettingProblem.Code.MISSING, PEER_SECRET.flag(), "required with --" + PEER_PORT.flag()));
        }
        if (Long.bitCount(settings.value(RING_SIZE)) != 1) {
            return Optional.of(new SettingProblem(
                    SettingProblem.Code.INVALID,
                    RING_SIZE.flag(),
                    settings.value(RING_SIZE) + " is not a power of two"));
        }
        return Optional.empty();
    }

    /**
     * Returns the reader of all settings.
     *
     * @return the reader
     */
    public static SettingsReader reader() {
        return new SettingsReader(
                "fuchsiawinch-node",
                "Runs one node, which serves callers and operators and schedules jobs on the platform's workers.",
                List.of(
                        NAME,
                        HOST,
                        PORT,
                        DATA_CENTRE,
                        PLATFORM_URL,
                        CLAIM_RANK,
                        HEARTBEAT_INTERVAL_MS,
                        OWNER_TIMEOUT_MS,
                        LEASE_MS,
                        FOUNDING_TOKEN,
                        PEER_PORT,
                        PEERS,
                        PEER_SECRET,
                        RING_SIZE,
                        BODY_LIMIT_BYTES));
    }
}
