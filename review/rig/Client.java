package rig;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Stand-in for a consumer of one tenant. */
public final class Client {

    private static final int TRIES = 5;
    private static final long DEADLINE_MS = 3000;

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(1000))
            .build();
    private final List<Nodes.Node> nodes;
    private final String host;
    private final String key;
    private final Recorder recorder;

    public Client(List<Nodes.Node> nodes, String host, String key, Recorder recorder) {
        this.nodes = nodes;
        this.host = host;
        this.key = key;
        this.recorder = recorder;
    }

    /** Answer; status 0 is a broken connection or none in time. */
    public record Answer(int status, String body) {}

    public Answer call(Nodes.Node node, String method, String path, String body) throws InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + node.address + path))
                .timeout(Duration.ofMillis(DEADLINE_MS))
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body))
                .header("Host", host)
                .header("Content-Type", "application/json")
                .header("X-Fuchsiawinch-Deadline-Ms", Long.toString(DEADLINE_MS));
        if (!key.isEmpty()) {
            request.header("Authorization", "Token " + key);
        }
        Answer answer;
        try {
            HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            answer = new Answer(0, e.toString());
        }
        recorder.line("client " + method + " " + path + " at " + node.name + " -> " + answer.status() + " "
                + answer.body());
        return answer;
    }

    /** Calls until an answer is final, at another node each time. */
    public Answer callWithRetries(String method, String path, String body) throws InterruptedException {
        int first = ThreadLocalRandom.current().nextInt(nodes.size());
        Answer answer = new Answer(0, "");
        for (int i = 0; i < TRIES; i++) {
            answer = call(nodes.get((first + i) % nodes.size()), method, path, body);
            if (answer.status() != 0 && answer.status() < 500 && answer.status() != 429) {
                return answer;
            }
            Thread.sleep(500);
        }
        return answer;
    }
}
