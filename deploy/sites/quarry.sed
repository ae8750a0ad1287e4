# Variant of derby-planning: other names, shares, limits, deadlines and costs; a keyed class whose repeats are dropped
# within a zone and for a short window only, and nothing that is out may be called off.
s/^name = "derby-planning"$/name = "quarry-haul"/
s/^name = "path-workers"$/name = "crushers"/
s/^name = "std-2core"$/name = "twin-core"/
s/^zones = .*/zones = ["pit", "yard"]/
/^name = "path-check"$/,/^$/ {
  s/^name = .*/name = "weigh"/
  s/^share = .*/share = [0.2, 0.3]/
  s/^aim_ms = .*/aim_ms = 900/
  s/^deadline_ms = .*/deadline_ms = 2500/
  s/^worth = .*/worth = 0.4/
}
/^name = "route-price"$/,/^$/ {
  s/^name = .*/name = "ticket"/
  s/^share = .*/share = [0.45, 0.6]/
  s/^aim_ms = .*/aim_ms = 500/
  s/^deadline_ms = .*/deadline_ms = 3000/
  s/^worth = .*/worth = 2/
  s/^effect = .*/effect = "keyed"\ngroup = "zone"\nwindow_ms = 900/
}
/^name = "path-book"$/,/^$/ {
  s/^name = .*/name = "permit"/
  s/^share = .*/share = [0.12, 0.2]/
  s/^aim_ms = .*/aim_ms = 600/
  s/^deadline_ms = .*/deadline_ms = 2000/
  s/^worth = .*/worth = 1/
}
s/^name = "ironbridge-haul"$/name = "north-face"/
s/^name = "soar-freight"$/name = "south-face"/
s/^name = "dove-minerals"$/name = "sand"/
s/^name = "wreake-rail"$/name = "gravel"/
s/^name = "idle-intermodal"$/name = "rail-head"/
s/^share = 0.27$/share = 0.4/
s/^share = 0.24$/share = 0.11/
s/^max_attempts = .*/max_attempts = 2/
s/^cancel = true$/cancel = false/
s/^drain_grace_ms = .*/drain_grace_ms = 400/
s/^fall_ms = .*/fall_ms = 1500/
s/^fall_multiple = .*/fall_multiple = 2.5/
s/^connect_timeout_ms = .*/connect_timeout_ms = 400/
s/^over_share_worth = .*/over_share_worth = 0.3/
s/^load_free = .*/load_free = 4/
s/^load_share = .*/load_share = 0.2/
s/^waste = .*/waste = 0.05/
s/^origin = .*/origin = 0.06/
s/^peer = .*/peer = 0.1/
s/^late_fail = .*/late_fail = 0.06/
