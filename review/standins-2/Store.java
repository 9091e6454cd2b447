package review2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Stand-in of the platform's metadata store: keyed topics of one partition, writer epochs, appends
 * on condition and reads that wait.
 */
final class Store implements AutoCloseable {
  private record Stored(byte[] bytes, String key, byte[] value) {}

  private static final class Writer {
    long epoch = -1;
    int sequence;
    boolean anySequence = true;
    final Deque<Map.Entry<Integer, String>> answers = new ArrayDeque<>();
  }

  private static final class Topic {
    final List<Stored> log = new ArrayList<>();
    final NavigableMap<String, Long> newest = new TreeMap<>();
    final Map<String, Writer> writers = new HashMap<>();
  }

  private static final long APPEND_MILLIS = 3;
  private static final int PAGE = 500;

  private final Map<String, Topic> topics = new HashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();

  /** Opens a port; returns its number. */
  int open(String ip) throws IOException {
    HttpServer server =
        Http.serve(new InetSocketAddress(ip, 0), (exchange, body) -> handle(exchange, body));
    servers.add(server);
    return server.getAddress().getPort();
  }

  /** Writes the newest value of a key, as an operator or a runner does; empty drops the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] text = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + text.length);
    record.put((byte) name.length).put(name).put(text);
    add(topic(topic), record.array());
    notifyAll();
  }

  /** Returns the newest value of a key, null if there is none. */
  synchronized byte[] newest(String topic, String key) {
    Long offset = topic(topic).newest.get(key);
    return offset == null ? null : topic(topic).log.get(offset.intValue()).value();
  }

  @Override
  public void close() {
    servers.forEach(server -> server.stop(0));
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private static void add(Topic topic, byte[] bytes) {
    int length = Byte.toUnsignedInt(bytes[0]);
    String key = new String(bytes, 1, length, StandardCharsets.UTF_8);
    byte[] value = java.util.Arrays.copyOfRange(bytes, 1 + length, bytes.length);
    topic.log.add(new Stored(bytes, key, value));
    if (value.length == 0) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, topic.log.size() - 1L);
    }
  }

  private Http.Answer handle(HttpExchange exchange, byte[] body) throws Exception {
    Map<String, String> query = Http.query(exchange);
    String path = exchange.getRequestURI().getPath();
    return switch (path) {
      case "/vanillacove/log-append" -> append(query, body);
      case "/vanillacove/log-read" -> read(query);
      case "/vanillacove/log-newest" -> newestPage(query);
      default -> Http.Answer.json(404, Http.JSON.createObjectNode());
    };
  }

  private synchronized Http.Answer append(Map<String, String> query, byte[] body)
      throws InterruptedException {
    Thread.sleep(APPEND_MILLIS);
    Topic topic = topic(query.get("topic"));
    ObjectNode answer = Http.JSON.createObjectNode();
    String at = query.get("at");
    if (at != null && Long.parseLong(at) != topic.log.size()) {
      return Http.Answer.json(412, answer.put("end", topic.log.size()));
    }
    Writer writer = null;
    int sequence = 0;
    if (query.containsKey("producer")) {
      writer = topic.writers.computeIfAbsent(query.get("producer"), name -> new Writer());
      long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
      sequence = Integer.parseInt(query.getOrDefault("seq", "0"));
      if (epoch < writer.epoch) {
        return Http.Answer.json(409, answer.put("reason", "fenced"));
      }
      if (epoch > writer.epoch) {
        writer.epoch = epoch;
        writer.anySequence = true;
        writer.answers.clear();
      }
      for (Map.Entry<Integer, String> known : writer.answers) {
        if (known.getKey() == sequence) {
          return new Http.Answer(200, known.getValue().getBytes(StandardCharsets.UTF_8));
        }
      }
      if (!writer.anySequence && sequence != writer.sequence + 1) {
        return Http.Answer.json(
            409, answer.put("reason", "seq").put("expected", writer.sequence + 1));
      }
    }
    long offset = topic.log.size();
    ByteBuffer bytes = ByteBuffer.wrap(body);
    while (bytes.remaining() >= 4) {
      byte[] record = new byte[bytes.getInt()];
      bytes.get(record);
      add(topic, record);
    }
    answer.put("offset", offset).put("end", topic.log.size());
    if (writer != null && body.length > 0) {
      writer.anySequence = false;
      writer.sequence = sequence;
      writer.answers.addLast(Map.entry(sequence, answer.toString()));
      if (writer.answers.size() > 5) {
        writer.answers.removeFirst();
      }
    }
    notifyAll();
    return Http.Answer.json(200, answer);
  }

  private synchronized Http.Answer read(Map<String, String> query) throws InterruptedException {
    Topic topic = topic(query.get("topic"));
    int from = Integer.parseInt(query.getOrDefault("from", "0"));
    long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
    long end = System.nanoTime() + wait * 1_000_000;
    for (long left = wait; topic.log.size() <= from && left > 0; ) {
      wait(left);
      left = (end - System.nanoTime()) / 1_000_000;
    }
    int maxBytes = Integer.parseInt(query.getOrDefault("max_kb", "1024")) * 1024;
    int last = from;
    int size = 16;
    while (last < topic.log.size() && size < maxBytes) {
      size += 4 + topic.log.get(last).bytes().length;
      last++;
    }
    ByteBuffer answer = ByteBuffer.allocate(size);
    answer.putLong(topic.log.size()).putLong(0);
    for (int i = from; i < last; i++) {
      byte[] each = topic.log.get(i).bytes();
      answer.putInt(each.length).put(each);
    }
    return new Http.Answer(200, answer.array());
  }

  private synchronized Http.Answer newestPage(Map<String, String> query) {
    Topic topic = topic(query.get("topic"));
    ObjectNode page = Http.JSON.createObjectNode();
    ArrayNode items = page.putArray("items");
    String after = query.getOrDefault("after", "");
    for (Map.Entry<String, Long> each : topic.newest.tailMap(after, false).entrySet()) {
      if (items.size() == PAGE) {
        page.put("has_more", true);
        break;
      }
      items
          .addObject()
          .put("key", each.getKey())
          .put(
              "value",
              Base64.getEncoder()
                  .encodeToString(topic.log.get(each.getValue().intValue()).value()))
          .put("offset", each.getValue());
    }
    if (!page.has("has_more")) {
      page.put("has_more", false);
    }
    page.put("end", topic.log.size());
    return Http.Answer.json(200, page);
  }
}
