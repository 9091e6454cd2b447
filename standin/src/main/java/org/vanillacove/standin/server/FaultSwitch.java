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

/** Makes a service fail in the ways of {@link Mode}; thread-safe. */
public final class FaultSwitch {
  /** Header by which a service says that a request took no effect. */
  static final String OUTCOME_HEADER = "x-outcome";

  /** How the service behaves. */
  private volatile Mode mode = Mode.NONE;

  /** Delay of answers. */
  private volatile Duration delay = Duration.ZERO;

  /** Number of answers that are still lost before the service works again. */
  private final AtomicInteger answersToLose = new AtomicInteger();

  /** Ways to behave. */
  public enum Mode {
    /** Works. */
    NONE,
    /** Says that requests took no effect, which is true. */
    REFUSING,
    /** Fails with a status that says nothing of the effect; nothing takes effect. */
    FAILING,
    /** Never answers; nothing takes effect. */
    SILENT,
    /** Requests take effect, then the connection is closed without an answer. */
    LOSING_ANSWERS,
    /** The connection is closed on each request; nothing takes effect. */
    CLOSING
  }

  /** Sets how the service behaves from now on. */
  public void setMode(Mode newMode) {
    mode = newMode;
  }

  /** Delays every answer from now on. */
  public void setDelay(Duration newDelay) {
    delay = newDelay;
  }

  /** Loses the next {@code count} answers after their requests took effect. */
  public void loseAnswers(int count) {
    answersToLose.set(count);
  }

  /** Returns the response to a request whose effect is {@code effect}. */
  HttpResponse respond(ServiceRequestContext context, Supplier<HttpResponse> effect) {
    return switch (mode) {
      case NONE -> {
        HttpResponse response = effect.get();
        boolean lose = answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
        yield lose ? drop(context) : delayed(response);
      }
      case REFUSING -> refusal(HttpStatus.SERVICE_UNAVAILABLE, "refused on purpose");
      case FAILING -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
      case SILENT -> HttpResponse.streaming();
      case LOSING_ANSWERS -> {
        effect.get().abort();
        yield drop(context);
      }
      case CLOSING -> drop(context);
    };
  }

  /** Returns a response that says that the request took no effect. */
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

  private static HttpResponse drop(ServiceRequestContext context) {
    Channel channel = context.log().ensureAvailable(RequestLogProperty.SESSION).channel();
    if (channel != null) {
      channel.close();
    }
    return HttpResponse.streaming();
  }
}
