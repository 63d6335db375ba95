package org.dewreach.controller;

/** Whether a controller reports to the load balancer that it can take users' requests. */
enum ReadinessState {
  /** It has not been able to answer users since the start of its process. */
  STARTING,
  /** It can answer users, or it could lately, or no controller can. */
  READY,
  /** It has not been able to answer users for a while, and another controller may be. */
  ISOLATED
}
