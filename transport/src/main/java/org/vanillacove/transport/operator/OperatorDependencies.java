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
 * Services of a host that the operator API uses.
 *
 * @param view state of the cell, built by applying the records of the log
 * @param control submits changes to the cell
 * @param membership agreed entry hosts of the cell and their reachability
 * @param configuration reads and changes the configuration
 * @param timeline merges the events of all hosts
 * @param recorder records events of this host
 * @param meters metrics of this host
 * @param authority authenticates tokens of operators
 * @param ready whether this host is ready to accept requests
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
