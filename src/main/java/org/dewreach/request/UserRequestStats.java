package org.dewreach.request;

import java.util.Map;

/**
 * Statistics of users' requests for operators.
 *
 * @param changes statistics of submissions and cancellations
 * @param queries statistics of queries
 * @param retries how often users were told to retry, for every reason in the order of the enum
 */
public record UserRequestStats(
    ConcurrencyStats changes, ConcurrencyStats queries, Map<RetryReason, Long> retries) {}
