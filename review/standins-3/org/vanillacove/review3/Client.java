package org.vanillacove.review3;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A client that sends requests to the hosts and notes them and their answers. */
final class Client {
  private static final long DEADLINE_MILLIS = 3_000;

  private final String host;
  private final Journal journal;
  private final HttpClient http;

  /** Creates a client of the route at {@code host}. */
  Client(String host, Journal journal) {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    this.host = host;
    this.journal = journal;
    http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
  }

  /** An answer; status 0 if none came before the deadline. */
  record Answer(int status, String body) {}

  Answer call(String method, String address, String path, String body) throws InterruptedException {
    return call(method, address, path, body, DEADLINE_MILLIS);
  }

  /** Sends a request and leaves if no answer has come after {@code patienceMillis}. */
  Answer call(String method, String address, String path, String body, long patienceMillis)
      throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .method(
                method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body))
            .header("Host", host)
            .header("Content-Type", "application/json")
            .header("Vanillacove-Deadline-Remaining", Long.toString(DEADLINE_MILLIS))
            .timeout(Duration.ofMillis(patienceMillis))
            .build();
    Answer answer;
    try {
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      answer = new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      answer = new Answer(0, e.toString());
    }
    journal.note(
        "client " + method + " " + path + " " + body + " -> " + answer.status() + " "
            + answer.body());
    return answer;
  }
}
