return {
  idle_kept_s = 11.5,
  least_paid_s = 12.5,
  work_off_s = 13.5,
  long_wait_s = 14.5,
  moved_share = 0.015,
  headroom_spreads = 2.5,
  lanes = { live = { start_within_s = 3.5 }, batch = { start_within_s = 40 } },
}
