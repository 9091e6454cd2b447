package org.vanillacove.protocol.configuration;

import com.google.common.base.Ascii;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Scope of an exception; empty parts do not restrict it.
 *
 * @param team name of the team
 * @param region name of the region
 * @param workload kind of workload
 * @param priority priority class of the jobs
 */
public record ExceptionScope(
    Optional<String> team,
    Optional<String> region,
    Optional<WorkloadKind> workload,
    Optional<PriorityClass> priority) {
  /** A part that a scope can name. */
  public enum Part {
    /** Team that submits the jobs. */
    TEAM,
    /** Region of the entry hosts. */
    REGION,
    /** Kind of workload of the jobs. */
    WORKLOAD,
    /** Priority class of the jobs. */
    CLASS
  }

  /** Returns the parts that the scope names, in the order of {@link Part}. */
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
