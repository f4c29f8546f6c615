-- The same as brittle_endpoints, in a fleet in which not all daemons are notified
-- of each other's requests.
brittle_daemons = 11
dofile(script_dir .. "/brittle_endpoints.lua")
