package nettletrail.members;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import nettletrail.core.Membership.MemberIncarnation;
import nettletrail.members.Statement.State;

/** What a {@link MembersDecider} sees, for the agreement on views. */
public record Seen(MembersDecider decider, Terms terms, LongSupplier clock) implements Sight {
    /** On this process's own clock. */
    Seen(MembersDecider decider, Terms terms) {
        this(decider, terms, System::nanoTime);
    }

    @Override
    public List<MemberIncarnation> there(long atLeastNs) {
        List<MemberIncarnation> there = new ArrayList<>();
        for (Statement each : decider.statements()) {
            boolean mine = each.who().equals(decider.self());
            boolean counts = mine ? !decider.cut() : each.state() == State.ALIVE
                    && decider.sinceNs(each.who().name(), clock.getAsLong()) >= atLeastNs;
            if (counts && !each.cut()) {
                there.add(each.who());
            }
        }
        return there;
    }

    @Override
    public boolean gone(MemberIncarnation who, long atLeastNs) {
        if (who.equals(decider.self())) {
            return false;
        }
        Statement told = decider.of(who.name());
        if (told == null) {
            return false; // not heard of yet: it was agreed on by others, and those in a view are not forgotten
        }
        return told.who().number() > who.number() || told.state() == State.LEFT
                || told.state() == State.GONE && decider.sinceNs(who.name(), clock.getAsLong()) >= atLeastNs;
    }

    @Override
    public boolean well(MemberIncarnation who) {
        Statement told = decider.of(who.name());
        return told != null && told.who().equals(who) && told.state() != State.LEFT
                && decider.sinceAnswerNs(who, clock.getAsLong()) < terms.suspicionNs(1);
    }

    @Override
    public List<String> names() {
        return decider.statements().stream().filter(each -> each.state() != State.LEFT).map(each -> each.who().name())
                .distinct().toList();
    }
}
