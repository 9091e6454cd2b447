package org.vanillacove.transport.operator;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.BooleanSupplier;
import org.vanillacove.coordination.api.CellControl;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.coordination.configuration.ConfigurationService;
import org.vanillacove.coordination.timeline.TimelineService;
import org.vanillacove.protocol.timeline.TimelineRecorder;
import org.vanillacove.transport.operator.access.TokenAuthority;

/**
 * What the operators' interface needs of a host.
 *
 * @param view the folded state
 * @param control changes of the cell
 * @param membership hosts of the cell
 * @param configuration changes of the configuration
 * @param timeline events of all hosts
 * @param recorder takes events of this host
 * @param meters metrics of this host
 * @param authority tokens of operators
 * @param ready whether this host takes work
 */
public record OperatorDependencies(
    CellView view,
    CellControl control,
    Membership membership,
    ConfigurationService configuration,
    TimelineService timeline,
    TimelineRecorder recorder,
    PrometheusMeterRegistry meters,
    TokenAuthority authority,
    BooleanSupplier ready) {}
