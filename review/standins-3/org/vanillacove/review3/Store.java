package org.vanillacove.review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store as PROTOCOL.md specifies it, as far as the hosts use it. */
final class Store {
  /** Appends of a writer whose answers are repeated. */
  private static final int REMEMBERED_APPENDS = 5;

  private static final int RECORD_BYTES = 262_144;
  private static final int REQUEST_BYTES = 2_097_152;
  private static final int MAX_PAGE_ITEMS = 500;
  private static final int MAX_PAGE_BYTES = 1 << 20;
  private static final long MAX_WAIT_MILLIS = 30_000;

  private final Map<String, Topic> topics = new HashMap<>();
  private final HttpServer server;

  /** Starts a store on a free port. */
  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/vanillacove/log-append", exchange -> serve(exchange, this::append));
    server.createContext("/vanillacove/log-read", exchange -> serve(exchange, this::read));
    server.createContext("/vanillacove/log-newest", exchange -> serve(exchange, this::newest));
    server.start();
  }

  private static final class Topic {
    private final List<byte[]> log = new ArrayList<>();
    private final Map<String, Integer> newest = new TreeMap<>();
    private final Map<String, Writer> writers = new HashMap<>();
  }

  private static final class Writer {
    private long epoch = -1;
    private long last = -1;
    private boolean any = true;
    private final Map<Long, String> answers = new LinkedHashMap<>();
  }

  private record Answer(int status, byte[] body) {
    static Answer json(int status, String text) {
      return new Answer(status, text.getBytes(StandardCharsets.UTF_8));
    }
  }

  private interface Handler {
    Answer handle(Map<String, String> query, byte[] body) throws InterruptedException;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  /** Writes a record as the operator or a runner does. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    add(
        topic(topic),
        ByteBuffer.allocate(1 + name.length + bytes.length)
            .put((byte) name.length)
            .put(name)
            .put(bytes)
            .array());
    notifyAll();
  }

  private static void serve(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Answer answer = handler.handle(query(exchange.getRequestURI().getRawQuery()), body);
      exchange.sendResponseHeaders(
          answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(answer.body());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      String[] pair = part.split("=", 2);
      query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
    }
    return query;
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private static void add(Topic topic, byte[] record) {
    int length = Byte.toUnsignedInt(record[0]);
    String key = new String(record, 1, length, StandardCharsets.UTF_8);
    topic.log.add(record);
    if (record.length == 1 + length) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, topic.log.size() - 1);
    }
  }

  private synchronized Answer append(Map<String, String> query, byte[] body) {
    Topic topic = topic(query.get("topic"));
    int end = topic.log.size();
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
      return Answer.json(412, "{\"end\":" + end + "}");
    }
    Writer writer = null;
    long epoch = 0;
    long sequence = 0;
    if (query.containsKey("producer")) {
      writer = topic.writers.computeIfAbsent(query.get("producer"), key -> new Writer());
      epoch = Long.parseLong(query.get("epoch"));
      sequence = Long.parseLong(query.get("seq"));
      if (epoch < writer.epoch) {
        return Answer.json(409, "{\"reason\":\"fenced\"}");
      }
      if (epoch > writer.epoch) {
        writer.epoch = epoch;
        writer.any = true;
        writer.answers.clear();
      }
      if (writer.answers.containsKey(sequence)) {
        return Answer.json(200, writer.answers.get(sequence));
      }
      if (!writer.any && sequence != writer.last + 1 && body.length > 0) {
        return Answer.json(409, "{\"reason\":\"seq\",\"seq\":" + (writer.last + 1) + "}");
      }
    }
    if (isTooLarge(body)) {
      return Answer.json(400, "{\"error\":\"record_bytes or request_bytes\"}");
    }
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.hasRemaining()) {
      byte[] record = new byte[records.getInt()];
      records.get(record);
      add(topic, record);
    }
    String answer = "{\"offset\":" + end + ",\"end\":" + topic.log.size() + "}";
    if (writer != null && body.length > 0) {
      writer.any = false;
      writer.last = sequence;
      writer.answers.put(sequence, answer);
      if (writer.answers.size() > REMEMBERED_APPENDS) {
        writer.answers.remove(writer.answers.keySet().iterator().next());
      }
    }
    notifyAll();
    return Answer.json(200, answer);
  }

  private static boolean isTooLarge(byte[] body) {
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.hasRemaining()) {
      int length = records.getInt();
      if (length > RECORD_BYTES) {
        return true;
      }
      records.position(records.position() + length);
    }
    return body.length > REQUEST_BYTES;
  }

  private synchronized Answer read(Map<String, String> query, byte[] body)
      throws InterruptedException {
    Topic topic = topic(query.get("topic"));
    int from = Integer.parseInt(query.get("from"));
    long wait = Math.min(MAX_WAIT_MILLIS, Long.parseLong(query.getOrDefault("wait_ms", "0")));
    long until = System.nanoTime() + wait * 1_000_000;
    while (topic.log.size() <= from) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        break;
      }
      wait(left);
    }
    int max = Integer.parseInt(query.getOrDefault("max_kb", "1024")) * 1024;
    int size = 16;
    int to = from;
    while (to < topic.log.size() && (to == from || size + topic.log.get(to).length + 4 <= max)) {
      size += topic.log.get(to).length + 4;
      to++;
    }
    ByteBuffer bytes = ByteBuffer.allocate(size).putLong(topic.log.size()).putLong(0);
    for (int i = from; i < to; i++) {
      bytes.putInt(topic.log.get(i).length).put(topic.log.get(i));
    }
    return new Answer(200, bytes.array());
  }

  private synchronized Answer newest(Map<String, String> query, byte[] body) {
    Topic topic = topic(query.get("topic"));
    String after = query.getOrDefault("after", "");
    StringBuilder items = new StringBuilder();
    int count = 0;
    boolean more = false;
    for (Map.Entry<String, Integer> each : topic.newest.entrySet()) {
      if (each.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (count == MAX_PAGE_ITEMS || items.length() > MAX_PAGE_BYTES) {
        more = true;
        break;
      }
      byte[] record = topic.log.get(each.getValue());
      int start = 1 + Byte.toUnsignedInt(record[0]);
      byte[] value = Arrays.copyOfRange(record, start, record.length);
      items
          .append(count == 0 ? "" : ",")
          .append("{\"key\":\"" + each.getKey() + "\",\"value\":\"")
          .append(Base64.getEncoder().encodeToString(value))
          .append("\",\"offset\":" + each.getValue() + "}");
      count++;
    }
    return Answer.json(
        200,
        "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end\":" + topic.log.size() + "}");
  }
}
