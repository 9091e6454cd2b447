package org.vanillacove.protocol.record;

import java.util.Optional;
import java.util.Set;
import org.vanillacove.protocol.generated.ConstraintsMessage;
import org.vanillacove.protocol.generated.HostSpecMessage;
import org.vanillacove.protocol.generated.JobSpecMessage;
import org.vanillacove.protocol.generated.ResourcesMessage;
import org.vanillacove.protocol.generated.WorkerSpecMessage;
import org.vanillacove.protocol.generated.ZoneMessage;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkloadKind;

/** Converts job, worker and host specifications to protobuf messages and back. */
final class SpecCodec {
  private SpecCodec() {}

  /** Returns the number of a constant on the wire; new constants may only be added at the end. */
  @SuppressWarnings("EnumOrdinal")
  static int toOrdinal(Enum<?> constant) {
    return constant.ordinal();
  }

  /** Returns the constant with the given ordinal; {@code values} are all constants in order. */
  static <T> T fromOrdinal(T[] values, int ordinal) {
    if (ordinal < 0 || ordinal >= values.length) {
      throw new IllegalArgumentException("no enum constant with ordinal " + ordinal);
    }
    return values[ordinal];
  }

  static ResourcesMessage toMessage(Resources resources) {
    return ResourcesMessage.newBuilder()
        .setCpuMillis(resources.cpuMillis())
        .setMemoryMib(resources.memoryMib())
        .setAccelerators(resources.accelerators())
        .build();
  }

  static ZoneMessage toMessage(AvailabilityZone zone) {
    return ZoneMessage.newBuilder().setRegion(zone.region()).setName(zone.name()).build();
  }

  static HostSpecMessage toMessage(HostSpec host) {
    return HostSpecMessage.newBuilder()
        .setId(host.id())
        .setPeerAddress(host.peerAddress())
        .setZone(toMessage(host.zone()))
        .build();
  }

  static WorkerSpecMessage toMessage(WorkerSpec worker) {
    WorkerSpecMessage.Builder builder =
        WorkerSpecMessage.newBuilder()
            .setId(worker.id())
            .setAddress(worker.address())
            .setZone(toMessage(worker.zone()))
            .setRack(worker.rack())
            .setCapacity(toMessage(worker.capacity()))
            .putAllLabels(worker.labels());
    worker.acceleratorKind().ifPresent(builder::setAcceleratorKind);
    return builder.build();
  }

  static JobSpecMessage toMessage(JobSpec spec) {
    return JobSpecMessage.newBuilder()
        .setName(spec.name())
        .setTeam(spec.team())
        .setKind(toOrdinal(spec.kind()))
        .setPriority(toOrdinal(spec.priority()))
        .setTaskCount(spec.taskCount())
        .setResources(toMessage(spec.resources()))
        .setConstraints(toMessage(spec.constraints()))
        .setRerun(toOrdinal(spec.rerun()))
        .setLoss(toOrdinal(spec.loss()))
        .setCheckpointable(spec.checkpointable())
        .setExpectedRunMillis(spec.expectedRunMillis())
        .setCommand(spec.command())
        .build();
  }

  static ConstraintsMessage toMessage(PlacementConstraints constraints) {
    ConstraintsMessage.Builder builder =
        ConstraintsMessage.newBuilder()
            .addAllRegions(constraints.regions())
            .addAllZones(constraints.zones())
            .addAllRacks(constraints.racks())
            .putAllLabels(constraints.labels());
    constraints.acceleratorKind().ifPresent(builder::setAcceleratorKind);
    return builder.build();
  }

  static Resources fromMessage(ResourcesMessage message) {
    return new Resources(message.getCpuMillis(), message.getMemoryMib(), message.getAccelerators());
  }

  static AvailabilityZone fromMessage(ZoneMessage message) {
    return new AvailabilityZone(message.getRegion(), message.getName());
  }

  static HostSpec fromMessage(HostSpecMessage message) {
    return new HostSpec(message.getId(), message.getPeerAddress(), fromMessage(message.getZone()));
  }

  static WorkerSpec fromMessage(WorkerSpecMessage message) {
    return new WorkerSpec(
        message.getId(),
        message.getAddress(),
        fromMessage(message.getZone()),
        message.getRack(),
        fromMessage(message.getCapacity()),
        message.hasAcceleratorKind() ? Optional.of(message.getAcceleratorKind()) : Optional.empty(),
        message.getLabelsMap());
  }

  static JobSpec fromMessage(JobSpecMessage message) {
    return new JobSpec(
        message.getName(),
        message.getTeam(),
        fromOrdinal(WorkloadKind.values(), message.getKind()),
        fromOrdinal(PriorityClass.values(), message.getPriority()),
        message.getTaskCount(),
        fromMessage(message.getResources()),
        fromMessage(message.getConstraints()),
        fromOrdinal(RerunPolicy.values(), message.getRerun()),
        fromOrdinal(LossPolicy.values(), message.getLoss()),
        message.getCheckpointable(),
        message.getExpectedRunMillis(),
        message.getCommand());
  }

  static PlacementConstraints fromMessage(ConstraintsMessage message) {
    if (message.equals(ConstraintsMessage.getDefaultInstance())) {
      return PlacementConstraints.ANY;
    }
    return new PlacementConstraints(
        Set.copyOf(message.getRegionsList()),
        Set.copyOf(message.getZonesList()),
        Set.copyOf(message.getRacksList()),
        message.getLabelsMap(),
        message.hasAcceleratorKind()
            ? Optional.of(message.getAcceleratorKind())
            : Optional.empty());
  }
}
