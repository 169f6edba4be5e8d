package org.fuchsiawinch.ctl;

import java.net.URI;
import java.time.Duration;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.fuchsiawinch.ctl.api.ApiReply;
import org.fuchsiawinch.ctl.api.HttpControlApi;
import org.fuchsiawinch.ctl.api.NodeUnreachableException;
import org.fuchsiawinch.ctl.api.UnreadableReplyException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Tests the HTTP adapter against a server on the loopback interface. */
public final class HttpControlApiTest {

    private DisposableServer server;
    private HttpControlApi api;

    @BeforeClass
    void startServer() {
        server = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .route(routes -> routes.get("/token", (request, response) -> response.status(403)
                                .sendString(Mono.just("{\"token\":\""
                                        + request.requestHeaders().get("Authorization") + "\"}")))
                        .post(
                                "/echo",
                                (request, response) ->
                                        response.send(request.receive().retain()))
                        .get("/text", (request, response) -> response.sendString(Mono.just("<html>"))))
                .bindNow();
        api = new HttpControlApi(
                URI.create("http://127.0.0.1:" + server.port() + "/"), "secret", Duration.ofSeconds(60));
    }

    @AfterClass
    void stopServer() {
        server.disposeNow();
    }

    /** The bearer token is sent, and the body of a refusal is parsed. */
    @Test
    public void sendsTheToken() {
        ApiReply reply = api.read("/token");
        assertEquals(reply.status(), 403);
        assertEquals(reply.body().path("token").asText(), "Bearer secret");
        assertTrue(!reply.ok());
    }

    /** A large body arrives complete and in UTF-8. */
    @Test
    public void sendsTheBody() {
        String text = "Fidži\n".repeat(20_000);
        ApiReply reply = api.send("/echo", JsonNodeFactory.instance.objectNode().put("text", text));
        assertEquals(reply.body().path("text").asText(), text);
    }

    /** A reply that is not JSON and an unreachable node are reported by exceptions of their own. */
    @Test
    public void reportsInvalidRepliesAndUnreachableNodes() {
        assertThrows(UnreadableReplyException.class, () -> api.read("/text"));
        HttpControlApi unreachable = new HttpControlApi(URI.create("http://127.0.0.1:1"), "", Duration.ofSeconds(60));
        assertThrows(NodeUnreachableException.class, () -> unreachable.read("/v1/document"));
    }
}
