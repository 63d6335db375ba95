-- Operators' own values; give the file with --script. Names that are left out keep their defaults.
-- The script must return a table. docs/operations.md tells what each value does.

local minute = 60

return {
  idle_kept_s = 25,          -- a machine without tasks is kept this long
  least_paid_s = minute - 2, -- returning a machine earlier saves nothing
  work_off_s = minute,       -- waiting work without a deadline is to be worked off in this time
  long_wait_s = minute,      -- from here on, work for spot machines gets ordinary ones too
  moved_share = 0.002,       -- share of the replicas' time that moving them may take
  headroom_spreads = 1.5,    -- room for services to come, in roots of the arrivals expected
  lanes = {
    -- ["some-lane"] = { start_within_s = 10 },
  },
}
