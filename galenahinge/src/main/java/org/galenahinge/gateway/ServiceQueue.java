package org.galenahinge.gateway;

import org.galenahinge.placement.AdmissionQueue;
import org.galenahinge.placement.ServiceRetryBudget;

/**
 * The state of one service: its waiting requests and its retry budget.
 *
 * @param waiting the requests that wait for a free slot
 * @param retryBudget limits the retries
 */
record ServiceQueue(AdmissionQueue<ForwardedRequest> waiting, ServiceRetryBudget retryBudget) {}
