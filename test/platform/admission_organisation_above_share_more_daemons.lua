-- The same as admission_organisation_above_share, with fewer requests for each
-- daemon to learn from, and with owners of endpoints.
admission_daemons = 12
dofile(script_dir .. "/admission_organisation_above_share.lua")
