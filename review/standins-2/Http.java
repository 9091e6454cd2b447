package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Helpers for the HTTP servers of the stand-ins. */
final class Http {
  static final ObjectMapper JSON = new ObjectMapper();

  private Http() {}

  /** Serves a request; may return null to leave it without an answer. */
  interface Handler {
    Answer handle(HttpExchange exchange, byte[] body) throws Exception;
  }

  /** An answer. */
  record Answer(int status, byte[] body) {
    static Answer json(int status, JsonNode body) {
      return new Answer(status, body.toString().getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Starts a server with a thread for each request, so that requests may wait. */
  static HttpServer serve(InetSocketAddress address, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(address, 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) {
    try {
      Answer answer = handler.handle(exchange, exchange.getRequestBody().readAllBytes());
      if (answer == null) {
        Thread.sleep(60_000);
        exchange.close();
        return;
      }
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(
          answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
      if (answer.body().length > 0) {
        exchange.getResponseBody().write(answer.body());
      }
      exchange.close();
    } catch (Exception e) {
      exchange.close();
    }
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String query = exchange.getRequestURI().getQuery();
    if (query != null) {
      for (String pair : query.split("&")) {
        String[] parts = pair.split("=", 2);
        values.put(parts[0], parts.length > 1 ? parts[1] : "");
      }
    }
    return values;
  }
}
