package org.vanillacove.transport.platform;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.generated.LogAppendRequest;
import org.vanillacove.protocol.generated.LogAppendResponse;
import org.vanillacove.protocol.generated.LogReadResponse;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.ReadOutcome;

/**
 * Appends to and reads from the platform's log over HTTP. An append is reported as refused only if
 * it is known to have had no effect: the request was not sent, or the response confirms it. After
 * any other failure the outcome is unknown.
 */
public final class HttpPlatformLog implements PlatformLog {
  /** Path of the log's records on the platform. */
  private static final String RECORDS_PATH = "/v1/log/records";

  /** HTTP client of the platform. */
  private final PlatformClient client;

  /** Creates a log that is accessed with {@code client}. */
  public HttpPlatformLog(PlatformClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<AppendOutcome> append(List<ByteString> records) {
    byte[] body = LogAppendRequest.newBuilder().addAllRecords(records).build().toByteArray();
    return client
        .call(HttpRequest.of(HttpMethod.POST, RECORDS_PATH, MediaType.PROTOBUF, body))
        .thenApply(HttpPlatformLog::toAppendOutcome);
  }

  @Override
  public CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords) {
    String path = RECORDS_PATH + "?from=" + fromOffset + "&limit=" + maxRecords;
    return client
        .call(HttpRequest.of(HttpMethod.GET, path))
        .thenApply(outcome -> toReadOutcome(outcome, fromOffset));
  }

  private static AppendOutcome toAppendOutcome(HttpCallOutcome outcome) {
    return switch (outcome) {
      case HttpCallOutcome.Responded responded when responded.isOk() ->
          parseAppendResponse(responded.body());
      case HttpCallOutcome.Responded responded when responded.isRefusal() ->
          new AppendOutcome.Refused(responded.reason());
      case HttpCallOutcome.Responded responded -> new AppendOutcome.Unknown(responded.reason());
      case HttpCallOutcome.NotSent notSent -> new AppendOutcome.Refused(notSent.reason());
      case HttpCallOutcome.NoResponse noResponse -> new AppendOutcome.Unknown(noResponse.reason());
    };
  }

  private static AppendOutcome parseAppendResponse(ByteString body) {
    try {
      LogAppendResponse response = LogAppendResponse.parseFrom(body);
      return response.hasFirstOffset()
          ? new AppendOutcome.Appended(response.getFirstOffset())
          : new AppendOutcome.Unknown("response has no offset");
    } catch (InvalidProtocolBufferException e) {
      return new AppendOutcome.Unknown("malformed response: " + e.getMessage());
    }
  }

  private static ReadOutcome toReadOutcome(HttpCallOutcome outcome, long fromOffset) {
    return switch (outcome) {
      case HttpCallOutcome.Responded responded when responded.isOk() ->
          parseReadResponse(responded.body(), fromOffset);
      case HttpCallOutcome.Responded responded -> new ReadOutcome.Unavailable(responded.reason());
      case HttpCallOutcome.NotSent notSent -> new ReadOutcome.Unavailable(notSent.reason());
      case HttpCallOutcome.NoResponse noResponse ->
          new ReadOutcome.Unavailable(noResponse.reason());
    };
  }

  private static ReadOutcome parseReadResponse(ByteString body, long fromOffset) {
    LogReadResponse response;
    try {
      response = LogReadResponse.parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      return new ReadOutcome.Unavailable("malformed response: " + e.getMessage());
    }
    if (response.getTrimmed()) {
      return response.getOldestOffset() > fromOffset
          ? new ReadOutcome.Trimmed(response.getOldestOffset())
          : new ReadOutcome.Unavailable("trimmed response has no later oldest offset");
    }
    boolean consistent =
        response.hasEndOffset()
            && response.getFirstOffset() == fromOffset
            && (response.getRecordsCount() == 0
                || response.getEndOffset() >= fromOffset + response.getRecordsCount());
    return consistent
        ? new ReadOutcome.Batch(fromOffset, response.getRecordsList(), response.getEndOffset())
        : new ReadOutcome.Unavailable("response does not match the request");
  }
}
