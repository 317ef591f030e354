package nettletrail.counter;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.luaj.vm2.Globals;
import org.luaj.vm2.LuaError;
import org.luaj.vm2.LuaTable;
import org.luaj.vm2.LuaValue;
import org.luaj.vm2.Varargs;
import org.luaj.vm2.lib.VarArgFunction;
import org.luaj.vm2.lib.jse.JsePlatform;

/**
 * The memory of a counter: keys with hashes or texts, each with an end if it has one, and scripts that run as one. As much
 * of the command reference as a script for counting needs. Scripts are run by a Lua interpreter, so that the text that a
 * real server would run is what is tested. Not for several threads at once.
 */
public final class CounterStore {
    /** What a command is answered with when it can't be done; the first word is its code. */
    public static final class Refused extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Refused(String message) {
            super(message, null, false, false);
        }
    }

    private static final String WRONG_TYPE = "WRONGTYPE Operation against a key holding the wrong kind of value";
    private static final String FULL = "OOM command not allowed when used memory > 'maxmemory'.";

    private static final class Value {
        final Map<String, String> hash = new LinkedHashMap<>();
        String text;
        long endsAtMs = Long.MAX_VALUE;

        Value copy() {
            Value copy = new Value();
            copy.hash.putAll(hash);
            copy.text = text;
            copy.endsAtMs = endsAtMs;
            return copy;
        }
    }

    private final LongSupplier clockMs;
    private final Map<String, Value> keys = new HashMap<>();
    private final Map<String, LuaValue> scripts = new HashMap<>();
    private final Globals globals = JsePlatform.standardGlobals();
    private boolean full;

    /** @param clockMs this server's wall clock, ms since 1970 */
    public CounterStore(LongSupplier clockMs) {
        this.clockMs = clockMs;
        LuaTable redis = new LuaTable();
        redis.set("call", new VarArgFunction() {
            @Override
            public Varargs invoke(Varargs given) {
                List<String> command = new ArrayList<>();
                for (int i = 1; i <= given.narg(); i++) {
                    command.add(given.checkjstring(i));
                }
                return toLua(run(command));
            }
        });
        globals.set("redis", redis);
    }

    /** Another server that knows what this one knows now: a replica, or the other half. Its clock is the same. */
    public CounterStore copy() {
        CounterStore copy = new CounterStore(clockMs);
        keys.forEach((key, value) -> copy.keys.put(key, value.copy()));
        return copy;
    }

    /** Everything is forgotten, scripts too. */
    public void forget() {
        keys.clear();
        scripts.clear();
    }

    /** Commands that may need more memory are refused from now on, or no longer. */
    public void full(boolean now) {
        full = now;
    }

    /** Keys that it has. */
    public int size() {
        keys.values().removeIf(value -> value.endsAtMs <= clockMs.getAsLong());
        return keys.size();
    }

    /** About how many bytes its keys and values have. */
    public long bytes() {
        long bytes = 0;
        for (Map.Entry<String, Value> each : keys.entrySet()) {
            bytes += each.getKey().length();
            for (Map.Entry<String, String> field : each.getValue().hash.entrySet()) {
                bytes += field.getKey().length() + field.getValue().length();
            }
        }
        return bytes;
    }

    /** Loads a script under its name, the SHA-1 of its text in hex. */
    public void load(String name, String script) {
        // Compiled once: its arguments are globals, as the reference has them.
        scripts.put(name, globals.load(script, "@" + name));
    }

    public boolean has(String name) {
        return scripts.containsKey(name);
    }

    /**
     * Runs a loaded script as one.
     *
     * @return what it returned: a {@link Long}, a {@link String}, null or a list of these
     */
    public Object eval(String name, List<String> keyNames, List<String> arguments) {
        LuaValue script = scripts.get(name);
        if (script == null) {
            throw new Refused("NOSCRIPT No matching script. Please use EVAL.");
        }
        globals.set("KEYS", table(keyNames));
        globals.set("ARGV", table(arguments));
        try {
            return fromLua(script.call());
        } catch (LuaError e) {
            if (e.getCause() instanceof Refused refused) {
                throw refused;
            }
            throw new Refused("ERR " + String.valueOf(e.getMessage()).replace('\n', ' '));
        }
    }

    private static LuaTable table(List<String> values) {
        LuaTable table = new LuaTable();
        for (int i = 0; i < values.size(); i++) {
            table.set(i + 1, LuaValue.valueOf(values.get(i)));
        }
        return table;
    }

    private static LuaValue toLua(Object value) {
        if (value instanceof Long number) {
            return LuaValue.valueOf((double) number);
        }
        if (value instanceof List<?> list) {
            LuaTable table = new LuaTable();
            for (int i = 0; i < list.size(); i++) {
                table.set(i + 1, toLua(list.get(i)));
            }
            return table;
        }
        return value == null ? LuaValue.FALSE : LuaValue.valueOf((String) value);
    }

    /** As the reference converts: numbers lose their fraction, false is null, a table ends at its first nil. */
    private static Object fromLua(LuaValue value) {
        if (value.isinttype() || value.type() == LuaValue.TNUMBER) {
            return (long) value.todouble();
        }
        if (value.istable()) {
            List<Object> list = new ArrayList<>();
            for (int i = 1; !value.get(i).isnil(); i++) {
                list.add(fromLua(value.get(i)));
            }
            return list;
        }
        if (value.isboolean()) {
            return value.toboolean() ? 1L : null;
        }
        return value.isnil() ? null : value.tojstring();
    }

    /** One command, as a client or a script gives it. */
    public Object run(List<String> command) {
        String name = command.get(0).toUpperCase(java.util.Locale.ROOT);
        int given = command.size() - 1;
        return switch (name) {
            case "TIME" -> time();
            case "GET" -> text(key(command, given, 1, 1));
            case "SET" -> set(key(command, given, 2, 2), command.get(2));
            case "DEL" -> keys.remove(key(command, given, 1, 1)) == null ? 0L : 1L;
            case "EXISTS" -> value(key(command, given, 1, 1)) == null ? 0L : 1L;
            case "INCRBY" -> add(key(command, given, 2, 2), command.get(2));
            case "PEXPIRE" -> expire(key(command, given, 2, 2), command.get(2));
            case "HGET" -> hash(key(command, given, 2, 2)).get(command.get(2));
            case "HLEN" -> (long) hash(key(command, given, 1, 1)).size();
            case "HGETALL" -> flat(hash(key(command, given, 1, 1)));
            case "HDEL" -> remove(key(command, given, 2, 64), command.subList(2, command.size()));
            case "HSET" -> put(key(command, given, 3, 129), command.subList(2, command.size()), false);
            case "HSETNX" -> put(key(command, given, 3, 3), command.subList(2, command.size()), true);
            default -> throw new Refused("ERR unknown command '" + command.get(0) + "'");
        };
    }

    private static String key(List<String> command, int given, int least, int most) {
        if (given < least || given > most) {
            throw new Refused("ERR wrong number of arguments for '" + command.get(0) + "' command");
        }
        return command.get(1);
    }

    private List<Object> time() {
        long now = clockMs.getAsLong();
        return List.of(Long.toString(now / 1_000), Long.toString(now % 1_000 * 1_000));
    }

    private Value value(String key) {
        Value value = keys.get(key);
        if (value != null && value.endsAtMs <= clockMs.getAsLong()) {
            keys.remove(key);
            return null;
        }
        return value;
    }

    private String text(String key) {
        Value value = value(key);
        if (value != null && value.text == null) {
            throw new Refused(WRONG_TYPE);
        }
        return value == null ? null : value.text;
    }

    private Map<String, String> hash(String key) {
        Value value = value(key);
        if (value != null && value.text != null) {
            throw new Refused(WRONG_TYPE);
        }
        return value == null ? Map.of() : value.hash;
    }

    private Value forWriting(String key) {
        if (full) {
            throw new Refused(FULL);
        }
        Value value = value(key);
        if (value == null) {
            value = new Value();
            keys.put(key, value);
        }
        return value;
    }

    private Object set(String key, String text) {
        Value value = forWriting(key);
        value.hash.clear();
        value.text = text;
        value.endsAtMs = Long.MAX_VALUE;
        return "OK";
    }

    private Long add(String key, String amount) {
        try {
            String before = text(key);
            long sum = Math.addExact(before == null ? 0 : Long.parseLong(before), Long.parseLong(amount));
            forWriting(key).text = Long.toString(sum);
            return sum;
        } catch (ArithmeticException | NumberFormatException e) {
            throw new Refused("ERR value is not an integer or out of range");
        }
    }

    private Long expire(String key, String ms) {
        Value value = value(key);
        if (value == null) {
            return 0L;
        }
        value.endsAtMs = clockMs.getAsLong() + Long.parseLong(ms);
        return 1L;
    }

    private static List<Object> flat(Map<String, String> hash) {
        List<Object> flat = new ArrayList<>();
        hash.forEach((field, value) -> {
            flat.add(field);
            flat.add(value);
        });
        return flat;
    }

    private Long remove(String key, List<String> fields) {
        Map<String, String> hash = hash(key);
        long removed = 0;
        for (String field : fields) {
            removed += hash.isEmpty() || hash.remove(field) == null ? 0 : 1;
        }
        if (removed > 0 && hash.isEmpty()) {
            keys.remove(key);
        }
        return removed;
    }

    private Long put(String key, List<String> pairs, boolean onlyNew) {
        if (pairs.size() % 2 != 0) {
            throw new Refused("ERR wrong number of arguments for 'hset' command");
        }
        hash(key);
        Value value = forWriting(key);
        long added = 0;
        for (int i = 0; i < pairs.size(); i += 2) {
            if (!value.hash.containsKey(pairs.get(i))) {
                added++;
                value.hash.put(pairs.get(i), pairs.get(i + 1));
            } else if (!onlyNew) {
                value.hash.put(pairs.get(i), pairs.get(i + 1));
            }
        }
        return added;
    }

    /** The name under which a script is known: the SHA-1 of its text. */
    public static String nameOf(String script) {
        try {
            byte[] digest = java.security.MessageDigest.getInstance("SHA-1")
                    .digest(script.getBytes(StandardCharsets.UTF_8));
            return java.util.HexFormat.of().formatHex(digest);
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JVM has it
        }
    }
}
