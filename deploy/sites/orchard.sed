# Variant of joburg-render: one attempt a call, short deadlines, a class worth very little and one that is most of the
# worth, messages between dispatchers allowed and dear, refusals that say when to come back.
s/^name = "joburg-render"$/name = "orchard-press"/
s/^name = "render-fleet"$/name = "presses"/
s/^name = "std-3core"$/name = "trio-core"/
s/^zones = .*/zones = ["barn", "mill"]/
/^name = "preview"$/,/^$/ {
  s/^name = .*/name = "taste"/
  s/^share = .*/share = [0.3, 0.4]/
  s/^aim_ms = .*/aim_ms = 350/
  s/^deadline_ms = .*/deadline_ms = 1200/
  s/^worth = .*/worth = 0.2/
}
/^name = "licence"$/,/^$/ {
  s/^name = .*/name = "bottle"/
  s/^share = .*/share = [0.6, 0.7]/
  s/^aim_ms = .*/aim_ms = 800/
  s/^deadline_ms = .*/deadline_ms = 2200/
  s/^worth = .*/worth = 2/
}
s/^name = "karoo-main"$/name = "east-slope"/
s/^name = "veld-audio"$/name = "west-slope"/
s/^name = "harbour-tracks"$/name = "glasshouse"/
s/^share = 0.59$/share = 0.3/
s/^share = 0.23$/share = 0.5/
s/^share = 0.18$/share = 0.2/
s/^max_attempts = .*/max_attempts = 1/
s/^peers = .*/peers = true/
s/^retry_after = .*/retry_after = true/
s/^peer = .*/peer = 0.2/
s/^drain_grace_ms = .*/drain_grace_ms = 600/
s/^fall_ms = .*/fall_ms = 2000/
s/^fall_multiple = .*/fall_multiple = 2/
s/^connect_timeout_ms = .*/connect_timeout_ms = 150/
s/^load_free = .*/load_free = 8/
s/^load_share = .*/load_share = 0.4/
s/^handshake_rtts = .*/handshake_rtts = [2, 4]/
