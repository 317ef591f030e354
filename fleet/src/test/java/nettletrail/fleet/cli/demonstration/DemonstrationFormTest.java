package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.util.List;
import nettletrail.fleet.ApprovedForm;
import nettletrail.fleet.JsonShape;
import org.junit.jupiter.api.Test;

/** The keys that {@code try --json} writes. */
class DemonstrationFormTest {
  @Test
  void resultHasItsKeys() throws IOException {
    InvariantResult invariant = new InvariantResult("a rule", true, "seen");
    DemonstrationResult result = DemonstrationResult.of(List.of(), List.of(invariant), 0);
    ApprovedForm.verify("try-json.txt", JsonShape.of(result.toJson().toString()));
  }
}
