package review2;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Client of the system. */
final class Client {
  private static final HttpClient HTTP =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  private Client() {}

  /** An answer; status 0 if there was none. */
  record Answer(int status, String body) {}

  static int status(String method, String address, String path, String host, String body) {
    return call(method, address, path, host, body).status();
  }

  static Answer call(String method, String address, String path, String host, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofSeconds(3))
            .header("Host", host)
            .header("Vanillacove-Deadline-Remaining", "3000")
            .method(
                method,
                body.isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    if (!body.isEmpty()) {
      request.header("Content-Type", "application/json");
    }
    try {
      HttpResponse<String> response =
          HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (java.io.IOException e) {
      return new Answer(0, "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, "");
    }
  }
}
