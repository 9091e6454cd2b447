package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's store: keyed topics of one partition with conditional appends, writer
 * epochs and sequence numbers, long reads, and the newest record of each key.
 */
final class StoreStandin implements AutoCloseable {
  /** Time of one append, {@code append_ms} of the settings. */
  private static final long APPEND_MILLIS = 3;

  /** Maximum number of items of one page of the newest records. */
  private static final int PAGE_ITEMS = 500;

  /** Number of appends of a writer whose repeats get the first response again. */
  private static final int REMEMBERED_APPENDS = 5;

  /** Silence after which a worker's entry is removed: three heartbeats of 1,500 ms. */
  private static final long ENTRY_EXPIRY_MILLIS = 4_500;

  /** Topic of the workers' entries. */
  static final String SERVERS = "keyed.servers";

  private static final ObjectMapper JSON = new ObjectMapper();

  /** A topic with its log and the state of its writers. */
  private static final class Topic {
    final List<byte[]> log = new ArrayList<>();
    final TreeMap<String, byte[]> newest = new TreeMap<>();
    final Map<String, Long> newestOffset = new HashMap<>();
    final Map<String, Writer> writers = new HashMap<>();
  }

  /** State of a writer in its newest epoch. */
  private static final class Writer {
    long epoch = -1;
    long lastSequence = -1;
    boolean anySequence = true;
    final TreeMap<Long, String> answers = new TreeMap<>();
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final Map<String, Long> beatMillis = new HashMap<>();
  private final HttpServer server;
  private boolean down;

  StoreStandin(String ip) throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/vanillacove/log-append", exchange -> handle(exchange, this::append));
    server.createContext("/vanillacove/log-read", exchange -> handle(exchange, this::read));
    server.createContext("/vanillacove/log-newest", exchange -> handle(exchange, this::newest));
    server.start();
  }

  private interface Handler {
    void handle(HttpExchange exchange, Map<String, String> query, byte[] body)
        throws IOException, InterruptedException;
  }

  String address() {
    return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
  }

  /** Begins or ends an outage, in which each call is answered 503 and does nothing. */
  synchronized void setDown(boolean value) {
    down = value;
    notifyAll();
  }

  synchronized boolean isDown() {
    return down;
  }

  /** Writes a record of the operator. */
  synchronized void put(String topic, String key, String value) {
    add(topic(topic), record(key, value.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  /** Writes a worker's entry, unless the store is down. */
  synchronized void beat(String id, String entry) {
    if (!down) {
      beatMillis.put(id, Deployment.now());
      put(SERVERS, id, entry);
    }
  }

  /** Removes the entries of workers that were silent for three heartbeats; returns their ids. */
  synchronized List<String> expireEntries() {
    List<String> expired = new ArrayList<>();
    beatMillis.forEach(
        (id, millis) -> {
          if (Deployment.now() - millis >= ENTRY_EXPIRY_MILLIS) {
            expired.add(id);
          }
        });
    for (String id : expired) {
      beatMillis.remove(id);
      put(SERVERS, id, "");
    }
    return expired;
  }

  /** Returns the newest value of a key as Latin-1 text, empty if there is none. */
  synchronized String newestText(String topic, String key) {
    byte[] value = topic(topic).newest.get(key);
    return value == null ? "" : new String(value, StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private void handle(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = new HashMap<>();
      String text = exchange.getRequestURI().getQuery();
      for (String part : (text == null ? "" : text).split("&")) {
        int equals = part.indexOf('=');
        if (equals > 0) {
          query.put(part.substring(0, equals), part.substring(equals + 1));
        }
      }
      if (isDown()) {
        Deployment.answer(exchange, 503, "{}");
        return;
      }
      handler.handle(exchange, query, body);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private static byte[] record(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(1 + name.length + value.length)
        .put((byte) name.length)
        .put(name)
        .put(value)
        .array();
  }

  private static void add(Topic topic, byte[] record) {
    int keyLength = Byte.toUnsignedInt(record[0]);
    String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
    byte[] value = new byte[record.length - 1 - keyLength];
    System.arraycopy(record, 1 + keyLength, value, 0, value.length);
    if (value.length == 0) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, value);
      topic.newestOffset.put(key, (long) topic.log.size());
    }
    topic.log.add(record);
  }

  private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    Thread.sleep(APPEND_MILLIS);
    int status = 200;
    String answer;
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      answer = rejection(topic, query);
      if (answer.startsWith("412")) {
        status = 412;
        answer = answer.substring(3);
      } else if (answer.startsWith("409")) {
        status = 409;
        answer = answer.substring(3);
      } else if (answer.isEmpty()) {
        answer = store(topic, query, body);
      }
    }
    Deployment.answer(exchange, status, answer);
  }

  /** Returns status and body of a rejection, the first response of a repeat, or an empty text. */
  private String rejection(Topic topic, Map<String, String> query) {
    String at = query.get("at");
    if (at != null && Long.parseLong(at) != topic.log.size()) {
      return "412{\"end\":" + topic.log.size() + "}";
    }
    if (query.get("producer") == null) {
      return "";
    }
    Writer writer = topic.writers.computeIfAbsent(query.get("producer"), key -> new Writer());
    long epoch = Long.parseLong(query.get("epoch"));
    long sequence = Long.parseLong(query.get("seq"));
    if (epoch < writer.epoch) {
      return "409{\"reason\":\"fenced\"}";
    }
    if (epoch > writer.epoch) {
      return "";
    }
    if (writer.answers.containsKey(sequence)) {
      return writer.answers.get(sequence);
    }
    return writer.anySequence || sequence == writer.lastSequence + 1
        ? ""
        : "409{\"reason\":\"seq\",\"expected\":" + (writer.lastSequence + 1) + "}";
  }

  private String store(Topic topic, Map<String, String> query, byte[] body) {
    long offset = topic.log.size();
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.hasRemaining()) {
      byte[] record = new byte[records.getInt()];
      records.get(record);
      add(topic, record);
    }
    String answer = "{\"offset\":" + offset + ",\"end\":" + topic.log.size() + "}";
    if (query.get("producer") != null) {
      Writer writer = topic.writers.get(query.get("producer"));
      long epoch = Long.parseLong(query.get("epoch"));
      if (epoch > writer.epoch) {
        writer.answers.clear();
      }
      writer.epoch = epoch;
      writer.lastSequence = Long.parseLong(query.get("seq"));
      writer.anySequence = body.length == 0;
      writer.answers.put(writer.lastSequence, answer);
      if (writer.answers.size() > REMEMBERED_APPENDS) {
        writer.answers.pollFirstEntry();
      }
    }
    notifyAll();
    return answer;
  }

  private void read(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    int from = Integer.parseInt(query.get("from"));
    long end = Deployment.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    int maxBytes = Integer.parseInt(query.getOrDefault("max_kb", "1024")) * 1024;
    byte[] answer;
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      while (topic.log.size() <= from && !down && Deployment.now() < end) {
        wait(Math.max(1, end - Deployment.now()));
      }
      if (down) {
        Deployment.answer(exchange, 503, "{}");
        return;
      }
      List<byte[]> records = new ArrayList<>();
      int size = 0;
      for (int i = from; i < topic.log.size() && size < maxBytes; i++) {
        records.add(topic.log.get(i));
        size += 4 + topic.log.get(i).length;
      }
      ByteBuffer bytes = ByteBuffer.allocate(16 + size).putLong(topic.log.size()).putLong(0);
      records.forEach(each -> bytes.putInt(each.length).put(each));
      answer = bytes.array();
    }
    Thread.sleep(1);
    Deployment.answer(exchange, 200, answer);
  }

  private void newest(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    ObjectNode answer = JSON.createObjectNode();
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      ArrayNode items = answer.putArray("items");
      Map<String, byte[]> left = topic.newest.tailMap(query.getOrDefault("after", ""), false);
      for (Map.Entry<String, byte[]> each : left.entrySet()) {
        if (items.size() == PAGE_ITEMS) {
          break;
        }
        items
            .addObject()
            .put("key", each.getKey())
            .put("value", Base64.getEncoder().encodeToString(each.getValue()))
            .put("offset", topic.newestOffset.get(each.getKey()));
      }
      answer.put("has_more", left.size() > items.size());
      answer.put("end", topic.log.size());
    }
    Thread.sleep(1);
    Deployment.answer(exchange, 200, answer.toString());
  }
}
