/**
 * The faults that a simulated cell generates, and the limits of its workers.
 */

export interface FaultPlan {
  seed: number
  workers: number
  /** Probability that a call to a worker does not arrive, per thousand. */
  lostRequests: number
  /** Probability that a call to a worker is carried out and its answer is lost, per thousand. */
  lostAnswers: number
  /** Probability that a call to a worker times out and is carried out seconds later, per thousand. */
  lateOrders: number
  /** True if a late call is carried out by whatever worker then has the id, also by the next incarnation. */
  hasStrayLateOrders?: boolean
  /** True if the next incarnation carries out late calls only after the first list request that was meant for it. */
  isStrayAfterFirstList?: boolean
  /** True if a call that reaches the next incarnation is carried out by it; only the answer to a list request shows this. */
  hasStrayCalls?: boolean
  /** True if the lease that a late call requests is counted from its arrival. */
  hasLateLeases?: boolean
  /** Probability that a call to a worker that is down or cut off is answered with a refused connection, per thousand. */
  refusedConnections?: number
  /** Probability that a worker refuses a start as unhealthy and does nothing, per thousand. */
  unhealthyStarts?: number
  /** True if workers refuse starts that exceed their capacity. */
  hasRoomCheck?: boolean
  /** True if workers refuse starts without a valid ticket; needs `hasAdmission`. */
  hasTicketCheck?: boolean
  /** Longest time that a run takes to stop, in milliseconds; 100 ms for all runs if undefined. */
  stopMs?: number
  /** True if a list request is carried out on arrival, and answered at the next end or after its `waitMs`. */
  hasLongPolling?: boolean
  /** Longest additional delay of each request and each answer, in milliseconds; calls and answers overtake each other. */
  jitterMs?: number
  /** Probability that a run fails, per thousand. */
  failures?: number
  /** Probability that a job of a generated schedule has a task that crashes each worker that starts it, per thousand. */
  deadlyJobs?: number
  /** True if the process that follows a worker at its address has another id. */
  hasNewIds?: boolean
  /** Maximum number of ends in one list of a worker; 500 if undefined. */
  listedEnds?: number
  /** True if the members of a gang end once one of them has ended. */
  hasGangBreaks?: boolean
  /** Shortest and longest duration of a run in milliseconds; derived from the estimate of the stage if undefined. */
  runMs?: readonly [number, number]
  /** Probability that a report of a worker arrives seconds later, also after the next incarnation has registered, per thousand. */
  delayedReports?: number
  /** Probability that the announcement of a worker that it leaves arrives seconds later, per thousand. */
  delayedLeaves?: number
  /** True if the stages of all queues need tickets of an admission service. */
  hasAdmission?: boolean
  /** Cap of the client account that all jobs belong to, in millicores; the cell has no accounts if undefined. */
  accountCap?: number
  /** Probability that an order to take a VM down does not arrive, per thousand. */
  lostUpkeep?: number
  /** Probability that an order to take a VM down times out and is carried out seconds later, per thousand. */
  lateUpkeep?: number
}

/** A plan without faults: no call is lost or late. */
export const FAULT_FREE_PLAN: FaultPlan = Object.freeze({ seed: 1, workers: 6, lostRequests: 0, lostAnswers: 0, lateOrders: 0 })
