package nettletrail.app.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import nettletrail.site.StandInDiscovery;

/**
 * Who stands where in a fleet of a size: the same in each process that is told the size, the seed and the port, so that
 * no list has to be handed round. Zones take backends and front doors in turn; a rack is a part of a zone whose
 * addresses share a prefix. Immutable.
 *
 * @param doors front doors, 1 or more
 * @param backends 1 to {@link #MOST_BACKENDS}
 * @param seed of all draws
 * @param port on which every backend listens, at an address of its own in 127.0.0.0/8
 */
record FleetPlan(int doors, int backends, long seed, int port) {
    /** Requests a second to one front door: 30,000 over 480. */
    static final double DOOR_RATE = 62.5;
    static final int ZONES = 5;
    /** Zones of the first region; the others are the second's. */
    static final int FIRST_REGION = 3;
    static final int RACK = 40;
    static final int MOST_BACKENDS = 200 * RACK * ZONES;
    /** 27,000 tenants over 480 front doors; each comes in through a set of {@link #SET}. */
    static final int TENANTS_A_DOOR = 56;
    static final int SET = 3;
    /** An attempt takes half of this for certain, and half by an exponential draw. */
    static final double ANSWER_MS = 150;

    FleetPlan {
        if (doors < 1 || backends < 1 || backends > MOST_BACKENDS) {
            throw new IllegalArgumentException("a fleet of " + doors + " front doors and " + backends + " backends");
        }
    }

    /** As long as the platform's names are. */
    String name(int backend) {
        return String.format(Locale.ROOT, "s-%08x", (backend + 1) * 0x9e3779b1L & 0xffffffffL);
    }

    static int zone(int number) {
        return number % ZONES;
    }

    static int rack(int backend) {
        return backend / ZONES / RACK;
    }

    String host(int backend) {
        return "127." + (16 + zone(backend)) + "." + rack(backend) + "." + (1 + backend / ZONES % RACK);
    }

    /** The entry as discovery lists it. */
    StandInDiscovery.Entry entry(int backend, String status, long sinceMs) {
        return new StandInDiscovery.Entry(name(backend), host(backend) + ":" + port,
                String.valueOf((char) ('a' + zone(backend))), "m1", 1 + rack(backend), status, sinceMs);
    }

    /** All of them, long started. */
    List<StandInDiscovery.Entry> entries() {
        List<StandInDiscovery.Entry> all = new ArrayList<>();
        for (int i = 0; i < backends; i++) {
            all.add(entry(i, "SERVING", 0));
        }
        return all;
    }

    /**
     * The backends that a selector names: {@code one:N}, {@code rack:ZONE/N}, {@code zone:N}, {@code region:N}.
     *
     * @throws IllegalArgumentException if it is none
     */
    List<Integer> select(String selector) {
        String[] parts = selector.split("[:/]");
        int first = Integer.parseInt(parts[1]);
        List<Integer> chosen = new ArrayList<>();
        for (int i = 0; i < backends; i++) {
            boolean in = switch (parts[0]) {
                case "one" -> i == first;
                case "rack" -> zone(i) == first && rack(i) == Integer.parseInt(parts[2]);
                case "zone" -> zone(i) == first;
                case "region" -> zone(i) < FIRST_REGION == (first == 0);
                default -> throw new IllegalArgumentException("'" + selector + "' selects no backends");
            };
            if (in) {
                chosen.add(i);
            }
        }
        return chosen;
    }

    /** ns that an attempt takes at a backend. */
    static long answerNs(SplittableRandom random) {
        return (long) (ANSWER_MS * 5e5 * (1 - Math.log(1 - random.nextDouble())));
    }

    /** The same for each carrier of the request with this id. */
    static long answerNs(String txn) {
        return answerNs(new SplittableRandom(Long.parseUnsignedLong(txn, 16)));
    }

    /** The tenant of a front door's request: one of those whose set it is in. */
    long tenant(int door, SplittableRandom random) {
        int tenants = TENANTS_A_DOOR * doors;
        int first = Math.floorMod(door - random.nextInt(Math.min(SET, doors)), doors);
        return (long) first + (long) doors * random.nextInt(Math.max(1, tenants / doors));
    }

    int first(long tenant) {
        return (int) (tenant % doors);
    }

    /** The configuration file of the front door with this number. */
    String config(int number, int sockets, Mechanism mechanism) {
        return "{\"name\":\"\",\"discovery\":\"\",\"seed\":\"" + Long.toHexString(seed) + "\",\"limits\":{\"sockets\":"
                + sockets + "},\"known\":{},\"settings\":{\"Balancers\":" + doors
                + ",\"Ceilings\":{\"ConnIdle\":20000000000,\"ConnectTimeout\":250000000,\"MaxAttempts\":3},"
                + "\"Dcs\":[\"a\",\"b\",\"c\",\"d\",\"e\"],\"Discovery\":\"push\",\"FamilyInfo\":{\"MostUnits\":6},"
                + "\"Flavors\":[\"m1\"],\"Obligations\":{\"ColdFrom\":0.3,\"RampTime\":5000000000,"
                + "\"OverloadFactor\":3.0,\"Fall\":2000000000},\"Services\":["
                + "{\"Name\":\"order-status\",\"Aim\":750000000,\"Deadline\":3000000000,\"Effect\":\"free\",\"Worth\":2,"
                + "\"LateValue\":0.2},{\"Name\":\"order-submit\",\"Aim\":750000000,\"Deadline\":3000000000,"
                + "\"Effect\":\"single_shot\",\"Worth\":5}],\"TiersOfService\":[{\"Name\":\"standard\",\"PerSecond\":12,"
                + "\"Burst\":48,\"Pays\":0.8}],\"Zone\":" + zone(number) + mechanism.settings(number) + "}}";
    }
}
