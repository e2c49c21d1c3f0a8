package org.galenahinge.gateway;

import org.galenahinge.placement.AdmissionQueue;
import org.galenahinge.placement.ServiceRetryBudget;

/**
 * What is kept for each service: who waits, and how many repeats are left.
 *
 * @param waiting the requests that wait for a place
 * @param budget bounds the repeats
 */
record ServiceDesk(AdmissionQueue<ForwardedCall> waiting, ServiceRetryBudget budget) {}
