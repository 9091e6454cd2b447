package org.vanillacove.protocol.configuration;

import com.google.common.base.Ascii;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.vanillacove.protocol.document.FieldFault;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.Resources;

/** Checks a job against the configuration in force. */
public final class JobPolicyCheck {
  private JobPolicyCheck() {}

  /** Returns a fault for each field of {@code spec} that the configuration does not allow. */
  public static List<FieldFault> faults(JobSpec spec, EffectiveConfiguration configuration) {
    List<FieldFault> faults = new ArrayList<>();
    Map<String, Resources> quotas = configuration.placement().teamQuotas();
    if (!quotas.isEmpty() && !quotas.containsKey(spec.team())) {
      faults.add(new FieldFault("$.team", "unknown team " + spec.team() + ", it has no quota"));
    }
    int limit = configuration.maxTasksPerJob(spec.team(), spec.priority());
    if (spec.taskCount() > limit) {
      faults.add(
          new FieldFault(
              "$.tasks",
              "more than the "
                  + limit
                  + " tasks that a job of class "
                  + Ascii.toLowerCase(spec.priority().name())
                  + " may have"));
    }
    return faults;
  }
}
