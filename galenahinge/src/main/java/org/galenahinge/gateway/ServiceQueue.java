package org.galenahinge.gateway;

import org.galenahinge.placement.AdmissionQueue;
import org.galenahinge.placement.PlacementRate;
import org.galenahinge.placement.ServiceRetryBudget;

/**
 * The state of one service: its waiting requests, the rate at which requests get a slot, and its retry budget.
 *
 * @param waiting the requests that wait for a free slot
 * @param rate how many requests have been placed lately
 * @param retryBudget limits the retries
 */
record ServiceQueue(AdmissionQueue<ForwardedRequest> waiting, PlacementRate rate, ServiceRetryBudget retryBudget) {}
