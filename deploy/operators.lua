-- Tuning parameters of the operators; pass the file with --script. Parameters that are left out keep
-- their defaults. The script must return a table. docs/operations.md describes the parameters.

local minute = 60

return {
  idle_kept_s = 25,          -- how long a machine without tasks is kept
  least_paid_s = minute - 2, -- releasing a younger machine saves nothing
  work_off_s = minute,       -- pending work without a deadline should complete within this time
  long_wait_s = minute,      -- with a longer expected wait, spot work also gets on-demand machines
  moved_share = 0.002,       -- share of service replicas' running time that migrations may take
  headroom_spreads = 1.5,    -- free capacity for new services, in square roots of expected arrivals
  lanes = {
    -- ["some-lane"] = { start_within_s = 10 },
  },
}
