-- One call of one front door for the ceilings of some customers: for each it settles what was spent and leases units ahead
-- of need. Rows are worked off in turn, each as if it had come alone. Without rows it is a word that the front door is there.
-- All numbers have fewer than 15 digits, which this language writes in full. Amounts are whole milli-units, times whole ms of this server's clock, shares whole millionths of the ceiling.
--
-- KEYS[1] the epoch, a hash: id, born, and a field "d:NAME" for each front door that goes by it: when it was last heard
-- KEYS[2] and on: the customers, in the rows' order; each a hash: epoch, level, at, and for each front door a field "d:NAME":
--         number of its last row, share it may believe, end of its lease, units leased, units spent so far, demand a
--         second, time of that row
-- ARGV    1 front door's name and, behind a slash, its process  2 epoch that it goes by, or ""  3 a name for a new epoch
--         4 lease in ms  5 ms for which a front door that lost the counter spends its share  6 share that all front doors
--         of a set have together without being heard of  7 front doors in all  8 this server's time until which the call
--         counts; 0: not known
--         and then for each row: 1 its number, higher than any before  2 number of the customer's last row that was
--         answered; 0: none  3 units spent so far  4 units wanted to be held  5 demand a second  6 front doors in the
--         customer's set  7 the ceiling's rate a second  8 its burst  9 share that the front door believes  10 1: it lets go
-- answer  for each row, and once if there is none: epoch, number, units leased, lease in ms, share, 1 if answers were lost
--         here and 2 if the call came too late and changed nothing, this server's time
local ALL, COMMON, ROW = 1000000, 8, 10
local time = redis.call('TIME')
local now = tonumber(time[1]) * 1000 + math.floor(tonumber(time[2]) / 1000)
local name, known_epoch, new_epoch = 'd:' .. ARGV[1], ARGV[2], ARGV[3]
local lease, loss = tonumber(ARGV[4]), tonumber(ARGV[5])
local floor, fleet = tonumber(ARGV[6]), tonumber(ARGV[7])
local late = ARGV[8] ~= '0' and now > tonumber(ARGV[8])

local epoch = redis.call('HGET', KEYS[1], 'id')
local born = tonumber(redis.call('HGET', KEYS[1], 'born') or '0')
local registered, heard

local function begin()
  epoch, born, registered = new_epoch, now, nil
  redis.call('HSET', KEYS[1], 'id', epoch, 'born', tostring(born))
end

-- Notes that this front door is heard, and counts who is, once for as long as the epoch stays.
local function register()
  if registered then return end
  if known_epoch == epoch then redis.call('HSET', KEYS[1], string.match(name, '^[^/]*'), tostring(now)) end
  registered, heard = 0, 0
  local all = redis.call('HGETALL', KEYS[1])
  for i = 1, #all, 2 do
    if string.sub(all[i], 1, 2) == 'd:' then
      registered = registered + 1
      if now - tonumber(all[i + 1]) <= lease then heard = heard + 1 end
    end
  end
end

local function row(key, at_argument)
  local function argument(i) return tonumber(ARGV[at_argument + i]) end
  local seq, acked, spent, want, demand = argument(1), argument(2), argument(3), argument(4), argument(5)
  local set, rate, burst, believed, release = argument(6), argument(7), argument(8), argument(9), argument(10) == 1
  local least = math.floor(floor / set)
  if late then
    -- This server was stopped or the way was: the front door has given the call up and goes by its share.
    return { known_epoch, seq, 0, 0, believed, 2, now }
  end

  local stored, all = {}, redis.call('HGETALL', key)
  for i = 1, #all, 2 do stored[all[i]] = all[i + 1] end
  local doors = {}
  for field, text in pairs(stored) do
    if string.sub(field, 1, 2) == 'd:' then
      local v = {}
      for number in string.gmatch(text, '[^,]+') do v[#v + 1] = tonumber(number) end
      doors[field] = { seq = v[1], share = v[2], till = v[3], held = v[4], spent = v[5], demand = v[6], last = v[7] }
    end
  end

  -- Which epoch it is. A front door with an answer that this server never gave: a copy that lagged was promoted, or this is
  -- one of two halves. What else was given is not known, for no customer: all start anew, from nothing.
  local mine, lost = doors[name], 0
  if epoch and known_epoch == epoch and acked > 0 and (stored['epoch'] ~= epoch or not mine or mine.seq < acked) then
    epoch, lost = nil, 1
    redis.call('DEL', KEYS[1])
  end
  if not epoch then begin() end
  register()

  local level, at = tonumber(stored['level'] or '0'), tonumber(stored['at'] or '0')
  if stored['epoch'] ~= epoch then
    -- Not known, or from before: what has filled since this epoch's birth is surely there, and no more.
    redis.call('DEL', key)
    doors, mine = {}, nil
    level, at = 0, born
  end
  if mine and mine.seq >= seq then
    -- The same row again, or one that was overtaken: nothing is added, and only what is still leased is told.
    local held = mine.seq == seq and now < mine.till and mine.held or 0
    return { epoch, seq, held, held > 0 and lease or 0, mine.share, lost, now }
  end

  -- The others: forgotten, silent (they may spend their shares), or with a lease.
  local grace = loss + burst * 1000 / rate
  local known, silent, shares, demands, holding, due, apart = 1, 0, 0, 0, 0, 0, 0
  for field, door in pairs(doors) do
    if field ~= name and now > door.till + grace then
      redis.call('HDEL', key, field)
    elseif now > door.till then
      silent = silent + door.share
      if field ~= name then known, shares, apart = known + 1, shares + door.share, apart + 1 end
    elseif field ~= name then
      known, shares = known + 1, shares + door.share
      holding, demands = holding + door.held, demands + door.demand
      due = due + math.min(door.share * rate / ALL, door.demand) * (now - door.last) / 1000
    end
  end

  -- Front doors of the set without a row here may spend the least share. Those not heard may be at another half of this
  -- counter, which may give away what nobody has as well as this one: of that, a part for each of them is left to it. As
  -- long as some may go by an older epoch, all that nobody has is theirs.
  local absent = math.max(0, set - known)
  apart = math.min(set, apart + math.min(absent, math.max(0, fleet - heard)))
  local free = math.max(0, ALL - shares - believed - absent * least)
  local young = absent > 0 and now - born <= lease + grace and registered < fleet
  -- A front door that comes for the first time has gone by its least share until now.
  local withheld = math.min(ALL, silent + (mine and absent or absent + 1) * least
      + (young and free or free * apart / set))
  local open = (ALL - withheld) / ALL

  level = level + rate * open * math.max(0, now - at) / 1000
  -- Full before what was spent is taken off: it may have been spent just now, when the store was full.
  level = math.min(level + (mine and mine.held or 0), burst * open - holding) - (mine and spent - mine.spent or 0)

  if release then
    redis.call('HDEL', key, name)
    want = 0
  end
  local held = math.floor(math.max(0, math.min(want, level - due)))
  local share = least
  -- Half of it evenly: a share so small that its store never holds the largest request would serve nobody.
  if demand > 0 then share = least + math.floor((ALL - set * least) * (0.5 / set + 0.5 * demand / (demand + demands))) end
  share = math.min(share, ALL - shares - absent * least)
  if young or apart > 0 then share = math.min(share, believed) end
  share = math.max(0, share)
  if not release then
    redis.call('HSET', key, name, table.concat({ seq, math.max(share, believed), now + lease, held, spent, demand, now },
        ','))
  end
  redis.call('HSET', key, 'epoch', epoch, 'level', tostring(math.floor(level - held)), 'at', tostring(now))
  -- Kept until each front door is forgotten and the store is full: one that is absent then is full.
  redis.call('PEXPIRE', key, tostring(math.floor(lease + grace + burst * 1000 / rate) + 1000))
  return { epoch, seq, held, lease, share, lost, now }
end

local answers = {}
for i = 2, #KEYS do answers[i - 1] = row(KEYS[i], COMMON + (i - 2) * ROW) end
if #KEYS == 1 and late then
  answers[1] = { known_epoch, 0, 0, 0, 0, 2, now }
elseif #KEYS == 1 then
  if not epoch then begin() end
  register()
  answers[1] = { epoch, 0, 0, lease, 0, 0, now }
end
return answers
