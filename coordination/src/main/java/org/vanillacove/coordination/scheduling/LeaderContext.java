package org.vanillacove.coordination.scheduling;

import java.util.function.Supplier;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.membership.MembershipService;
import org.vanillacove.coordination.membership.PeerTable;
import org.vanillacove.coordination.membership.StandingKeeper;
import org.vanillacove.coordination.session.PlanStore;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.StreamReader;
import org.vanillacove.coordination.stream.StreamWriter;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.timeline.TimelineRecorder;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.Placer;

/**
 * The parts that the leader's work rests on.
 *
 * @param selfId this host
 * @param store the folded state
 * @param reader the tail of the stream
 * @param writer takes records
 * @param gateway sends commands to workers
 * @param membership says who is reachable
 * @param peers newest heartbeats
 * @param plans takes session plans
 * @param standing standing of this host
 * @param timer source of time
 * @param timings times that are kept
 * @param timeline takes events
 * @param placers makes placers
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
    StandingKeeper standing,
    TimerService timer,
    CellTimings timings,
    TimelineRecorder timeline,
    Supplier<Placer> placers,
    SafetyRules rules) {}
