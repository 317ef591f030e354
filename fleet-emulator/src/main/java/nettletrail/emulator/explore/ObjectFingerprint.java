package nettletrail.emulator.explore;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.apache.avro.specific.SpecificRecord;

/**
 * A hash, by reflection, of an object and of all objects that it refers to. Objects with equal
 * fields have equal fingerprints. Random number generators are left out, so states that differ only
 * in random numbers not yet drawn count as one.
 */
final class ObjectFingerprint {
  private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int HALF_WORD = 32;
  private static final Map<Class<?>, List<Field>> FIELDS = new HashMap<>();

  private final Map<Object, Integer> visited = new IdentityHashMap<>();

  private ObjectFingerprint() {}

  static long of(Object root) {
    return new ObjectFingerprint().hash(root);
  }

  private long hash(Object value) {
    if (value == null || value instanceof SplittableRandom) {
      return 1;
    }
    if (value instanceof Number || value instanceof Boolean || value instanceof CharSequence) {
      return mix(value.toString().hashCode(), value.getClass().getName().hashCode());
    }
    if (value instanceof Enum<?> constant) {
      return mix(constant.name().hashCode(), constant.ordinal());
    }
    if (value instanceof byte[] bytes) {
      return Arrays.hashCode(bytes);
    }
    if (value instanceof ByteBuffer buffer) {
      return buffer.hashCode();
    }
    Integer seen = visited.putIfAbsent(value, visited.size());
    return seen != null ? seen : hashContent(value);
  }

  private long hashContent(Object value) {
    if (value instanceof Map<?, ?> map) {
      return hashMap(map);
    }
    if (value instanceof Set<?> set) {
      return set.stream().mapToLong(this::hash).sum();
    }
    if (value instanceof Collection<?> collection) {
      return hashAll(collection);
    }
    if (value instanceof Object[] array) {
      return hashAll(Arrays.asList(array));
    }
    if (value instanceof SpecificRecord message) {
      return hashMessage(message);
    }
    return hashFields(value);
  }

  private long hashMap(Map<?, ?> map) {
    long sum = map.size();
    for (Map.Entry<?, ?> entry : map.entrySet()) {
      sum += mix(hash(entry.getKey()), hash(entry.getValue()));
    }
    return sum;
  }

  private long hashAll(Collection<?> values) {
    long hash = values.size();
    for (Object value : values) {
      hash = mix(hash, hash(value));
    }
    return hash;
  }

  private long hashMessage(SpecificRecord message) {
    long hash = message.getSchema().getName().hashCode();
    for (int field = 0; field < message.getSchema().getFields().size(); field++) {
      hash = mix(hash, hash(message.get(field)));
    }
    return hash;
  }

  private long hashFields(Object value) {
    long hash = value.getClass().getName().hashCode();
    if (value.getClass().isSynthetic() || value.getClass().getName().startsWith("java.")) {
      return hash;
    }
    for (Field field : fieldsOf(value.getClass())) {
      try {
        hash = mix(hash, hash(field.get(value)));
      } catch (IllegalAccessException impossible) {
        throw new IllegalStateException(impossible);
      }
    }
    return hash;
  }

  private static List<Field> fieldsOf(Class<?> type) {
    return FIELDS.computeIfAbsent(type, ObjectFingerprint::findFields);
  }

  private static List<Field> findFields(Class<?> type) {
    List<Field> fields = new ArrayList<>();
    for (Class<?> level = type;
        level != Object.class && level != Record.class;
        level = level.getSuperclass()) {
      for (Field field : level.getDeclaredFields()) {
        if (!Modifier.isStatic(field.getModifiers())) {
          field.setAccessible(true);
          fields.add(field);
        }
      }
    }
    return fields;
  }

  private static long mix(long left, long right) {
    long mixed = (left * MULTIPLIER + right) * MULTIPLIER;
    return mixed ^ (mixed >>> HALF_WORD);
  }
}
