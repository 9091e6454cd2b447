package org.vanillacove.coordination.work;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import org.vanillacove.protocol.generated.WorkAdviceMessage;
import org.vanillacove.protocol.generated.WorkQueueMessage;
import org.vanillacove.state.work.QueuePolicy;

/** Encodes and decodes the durable records of the last policies of queues. */
final class QueueRecords {
  /** Key prefix of the records. */
  static final String PREFIX = "queue/";

  private QueueRecords() {}

  /**
   * The last known policy of a queue.
   *
   * @param queue name of the queue under which its jobs were accepted
   * @param policy policy that applied to these jobs last; it may be that of a queue of another name
   */
  record LastPolicy(String queue, QueuePolicy policy) {}

  /** Returns the key of a queue's record; its length doesn't depend on the name. */
  static String key(String queue) {
    return PREFIX + UUID.nameUUIDFromBytes(queue.getBytes(StandardCharsets.UTF_8));
  }

  /** Encodes the last policy of a queue. */
  static ByteString encode(String queue, QueuePolicy policy) {
    WorkQueueMessage.Builder message =
        WorkQueueMessage.newBuilder()
            .setQueue(queue)
            .setPolicyName(policy.name())
            .setAddress(policy.address())
            .setService(policy.service())
            .setPriority(policy.priority())
            .setMaxAttempts(policy.maxAttempts())
            .setStretch(policy.stretch())
            .setTargetMillis(policy.targetMillis());
    policy.advice().map(QueueRecords::advice).ifPresent(message::setAdvice);
    return message.build().toByteString();
  }

  /** Returns the last policy in a record, or empty if the record is malformed. */
  static Optional<LastPolicy> parse(ByteString bytes) {
    try {
      WorkQueueMessage message = WorkQueueMessage.parseFrom(bytes);
      return Optional.of(
          new LastPolicy(
              message.getQueue(),
              new QueuePolicy(
                  message.getPolicyName(),
                  message.getAddress(),
                  message.getService(),
                  message.getPriority(),
                  message.getMaxAttempts(),
                  message.getStretch(),
                  message.getTargetMillis(),
                  message.hasAdvice() ? Optional.of(advice(message)) : Optional.empty())));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  private static WorkAdviceMessage advice(QueuePolicy.AdvicePolicy advice) {
    return WorkAdviceMessage.newBuilder()
        .setDecisionMillis(advice.decisionMillis())
        .setPerWorkerMillis(advice.perWorkerMillis())
        .setValidMillis(advice.validMillis())
        .build();
  }

  private static QueuePolicy.AdvicePolicy advice(WorkQueueMessage message) {
    WorkAdviceMessage advice = message.getAdvice();
    return new QueuePolicy.AdvicePolicy(
        advice.getDecisionMillis(), advice.getPerWorkerMillis(), advice.getValidMillis());
  }
}
