package org.vanillacove.protocol.configuration;

import com.google.common.base.Ascii;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.WorkloadKind;

/**
 * What an exception applies to; empty parts are not named.
 *
 * @param team a team
 * @param region a region
 * @param workload a kind of workload
 * @param priority a priority class
 */
public record ExceptionScope(
    Optional<String> team,
    Optional<String> region,
    Optional<WorkloadKind> workload,
    Optional<PriorityClass> priority) {
  /** A part of a scope. */
  public enum Part {
    /** A team. */
    TEAM,
    /** A region. */
    REGION,
    /** A kind of workload. */
    WORKLOAD,
    /** A priority class. */
    CLASS
  }

  /** Returns the parts that are named, in fixed order. */
  public List<Part> parts() {
    List<Part> parts = new ArrayList<>();
    team.ifPresent(name -> parts.add(Part.TEAM));
    region.ifPresent(name -> parts.add(Part.REGION));
    workload.ifPresent(kind -> parts.add(Part.WORKLOAD));
    priority.ifPresent(name -> parts.add(Part.CLASS));
    return parts;
  }

  @Override
  public String toString() {
    List<String> texts = new ArrayList<>();
    team.ifPresent(name -> texts.add("team=" + name));
    region.ifPresent(name -> texts.add("region=" + name));
    workload.ifPresent(kind -> texts.add("workload=" + Ascii.toLowerCase(kind.name())));
    priority.ifPresent(name -> texts.add("class=" + Ascii.toLowerCase(name.name())));
    return String.join(",", texts);
  }
}
