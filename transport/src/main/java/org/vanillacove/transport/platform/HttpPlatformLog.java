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
 * The platform's log over HTTP. An append is refused only if it is proven that nothing took effect:
 * the request was not sent, or the answer says so. Every other failure leaves the outcome unknown.
 */
public final class HttpPlatformLog implements PlatformLog {
  /** Path of the records. */
  private static final String RECORDS_PATH = "/v1/log/records";

  /** Calls the platform. */
  private final PlatformClient client;

  /** Creates a log on {@code client}. */
  public HttpPlatformLog(PlatformClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<AppendOutcome> append(List<ByteString> records) {
    byte[] body = LogAppendRequest.newBuilder().addAllRecords(records).build().toByteArray();
    return client
        .call(HttpRequest.of(HttpMethod.POST, RECORDS_PATH, MediaType.PROTOBUF, body))
        .thenApply(HttpPlatformLog::appendOutcome);
  }

  @Override
  public CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords) {
    String path = RECORDS_PATH + "?from=" + fromOffset + "&limit=" + maxRecords;
    return client
        .call(HttpRequest.of(HttpMethod.GET, path))
        .thenApply(outcome -> readOutcome(outcome, fromOffset));
  }

  private static AppendOutcome appendOutcome(HttpCallOutcome outcome) {
    return switch (outcome) {
      case HttpCallOutcome.Answered answered when answered.isOk() -> appended(answered.body());
      case HttpCallOutcome.Answered answered when answered.isRefusal() ->
          new AppendOutcome.Refused(answered.reason());
      case HttpCallOutcome.Answered answered -> new AppendOutcome.Unknown(answered.reason());
      case HttpCallOutcome.NotSent notSent -> new AppendOutcome.Refused(notSent.reason());
      case HttpCallOutcome.NoAnswer noAnswer -> new AppendOutcome.Unknown(noAnswer.reason());
    };
  }

  private static AppendOutcome appended(ByteString body) {
    try {
      LogAppendResponse response = LogAppendResponse.parseFrom(body);
      return response.hasFirstOffset()
          ? new AppendOutcome.Appended(response.getFirstOffset())
          : new AppendOutcome.Unknown("answer without an offset");
    } catch (InvalidProtocolBufferException e) {
      return new AppendOutcome.Unknown("malformed answer: " + e.getMessage());
    }
  }

  private static ReadOutcome readOutcome(HttpCallOutcome outcome, long fromOffset) {
    return switch (outcome) {
      case HttpCallOutcome.Answered answered when answered.isOk() ->
          batch(answered.body(), fromOffset);
      case HttpCallOutcome.Answered answered -> new ReadOutcome.Unavailable(answered.reason());
      case HttpCallOutcome.NotSent notSent -> new ReadOutcome.Unavailable(notSent.reason());
      case HttpCallOutcome.NoAnswer noAnswer -> new ReadOutcome.Unavailable(noAnswer.reason());
    };
  }

  private static ReadOutcome batch(ByteString body, long fromOffset) {
    LogReadResponse response;
    try {
      response = LogReadResponse.parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      return new ReadOutcome.Unavailable("malformed answer: " + e.getMessage());
    }
    if (response.getTrimmed()) {
      return response.getOldestOffset() > fromOffset
          ? new ReadOutcome.Trimmed(response.getOldestOffset())
          : new ReadOutcome.Unavailable("answer names no later oldest offset");
    }
    boolean whole =
        response.hasEndOffset()
            && response.getFirstOffset() == fromOffset
            && (response.getRecordsCount() == 0
                || response.getEndOffset() >= fromOffset + response.getRecordsCount());
    return whole
        ? new ReadOutcome.Batch(fromOffset, response.getRecordsList(), response.getEndOffset())
        : new ReadOutcome.Unavailable("answer does not match the question");
  }
}
