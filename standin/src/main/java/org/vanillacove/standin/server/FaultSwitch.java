package org.vanillacove.standin.server;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Injects the faults of {@link Mode} into a service; thread-safe. */
public final class FaultSwitch {
  /** Response header that states that a request had no effect. */
  static final String OUTCOME_HEADER = "x-outcome";

  /** Fault in effect; set by tests or over HTTP. */
  private volatile Mode mode = Mode.NONE;

  /** Delay of the responses in mode {@code NONE}. */
  private volatile Duration delay = Duration.ZERO;

  /** Number of next responses that are dropped after their requests took effect. */
  private final AtomicInteger answersToLose = new AtomicInteger();

  /** Faults of a service. */
  public enum Mode {
    /** Requests take effect and are responded to. */
    NONE,
    /** Requests are rejected with the header that states that they had no effect. */
    REFUSING,
    /** Requests have no effect, but the error response leaves their outcome unknown. */
    FAILING,
    /** Requests have no effect and are never responded to. */
    SILENT,
    /** Requests take effect, then the connection is closed without a response. */
    LOSING_ANSWERS,
    /** Requests have no effect and the connection is closed. */
    CLOSING
  }

  /** Sets the fault that is in effect from now on. */
  public void setMode(Mode newMode) {
    mode = newMode;
  }

  /** Sets the delay of the responses in mode {@code NONE} from now on. */
  public void setDelay(Duration newDelay) {
    delay = newDelay;
  }

  /** Drops the next {@code count} responses after their requests took effect. */
  public void loseResponses(int count) {
    answersToLose.set(count);
  }

  /** Returns the response to a request; {@code effect} applies it unless a fault prevents that. */
  HttpResponse respond(ServiceRequestContext context, Supplier<HttpResponse> effect) {
    return switch (mode) {
      case NONE -> {
        HttpResponse response = effect.get();
        boolean lose = answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
        yield lose ? closeConnection(context) : delayed(response);
      }
      case REFUSING -> refusal(HttpStatus.SERVICE_UNAVAILABLE, "refused on purpose");
      case FAILING -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
      case SILENT -> HttpResponse.streaming();
      case LOSING_ANSWERS -> {
        effect.get().abort();
        yield closeConnection(context);
      }
      case CLOSING -> closeConnection(context);
    };
  }

  /** Returns an error response that states that the request had no effect. */
  static HttpResponse refusal(HttpStatus status, String reason) {
    return HttpResponse.of(
        ResponseHeaders.builder(status)
            .contentType(MediaType.PLAIN_TEXT_UTF_8)
            .add(OUTCOME_HEADER, "refused")
            .build(),
        HttpData.ofUtf8(reason));
  }

  private HttpResponse delayed(HttpResponse response) {
    return delay.isZero() ? response : HttpResponse.delayed(response, delay);
  }

  private static HttpResponse closeConnection(ServiceRequestContext context) {
    Channel channel = context.log().ensureAvailable(RequestLogProperty.SESSION).channel();
    if (channel != null) {
      channel.close();
    }
    return HttpResponse.streaming();
  }
}
