package org.galenahinge.gateway;

import org.galenahinge.placement.AdmissionQueue;
import org.galenahinge.placement.RepeatBudget;
import org.galenahinge.placement.StuckCalls;

/**
 * What is kept for each service: who waits, and how many repeats are left.
 *
 * @param waiting the requests that wait for a place
 * @param stuck the requests whose upstream has fallen silent
 * @param budget bounds the repeats
 */
record ServiceDesk(AdmissionQueue<ForwardedCall> waiting, StuckCalls<ForwardedCall> stuck, RepeatBudget budget) {
    boolean isIdle() {
        return waiting.size() == 0 && stuck.size() == 0;
    }
}
