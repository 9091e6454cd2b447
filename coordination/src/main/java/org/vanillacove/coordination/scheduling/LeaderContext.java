package org.vanillacove.coordination.scheduling;

import java.util.function.Supplier;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.membership.HostLeaseKeeper;
import org.vanillacove.coordination.membership.MembershipService;
import org.vanillacove.coordination.membership.PeerTable;
import org.vanillacove.coordination.session.PlanStore;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.StreamReader;
import org.vanillacove.coordination.stream.StreamWriter;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.timeline.TimelineRecorder;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.Placer;

/**
 * Services and settings used by the scheduling classes of the leader.
 *
 * @param selfId identifier of this host
 * @param store cell state built from the records of the log
 * @param reader follows the end of the log
 * @param writer appends records to the log
 * @param gateway sends commands to workers
 * @param membership knows which hosts are reachable or leaving
 * @param peers newest heartbeat of each peer
 * @param plans publishes session plans
 * @param hostLease lease that allows this host to lead
 * @param timer clock and timers
 * @param timings configured intervals and timeouts
 * @param timeline records events for operators
 * @param placers creates the placer of a new term
 * @param rules safety rules in force
 */
public record LeaderContext(
    String selfId,
    CellStore store,
    StreamReader reader,
    StreamWriter writer,
    WorkerGateway gateway,
    MembershipService membership,
    PeerTable peers,
    PlanStore plans,
    HostLeaseKeeper hostLease,
    TimerService timer,
    CellTimings timings,
    TimelineRecorder timeline,
    Supplier<Placer> placers,
    SafetyRules rules) {}
