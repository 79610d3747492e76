// Query language for operators:
//   [count] RESOURCE [where CONDITION {and CONDITION}] [order by FIELD [desc]] [limit N]
//   why target NAME | why request ID
Query = _ query:(Why / Select) _ { return query; }

Why = "why" __ kind:("target" / "request") __ name:Value { return { kind: 'why', of: kind, name }; }

Select
  = count:("count" __ { return true; })? resource:Resource where:Where? order:Order? limit:Limit? {
    return {
      kind: 'select', resource, count: count ?? false, where: where ?? [], ...(order ?? {}), ...(limit ?? {}),
    };
  }

Resource "targets, fleets, models, organisations, requests, revisions or quarantine"
  = name:("targets" / "fleets" / "models" / "organisations" / "requests" / "revisions" / "quarantine") !Letter { return name; }

Where = __ "where" __ head:Condition tail:(__ "and" __ @Condition)* { return [head, ...tail]; }

Condition = field:Field _ operator:Operator _ value:Value { return { field, operator, value }; }

Operator "=, !=, <, <=, >, >= or ~" = "!=" / "<=" / ">=" / "=" / "<" / ">" / "~"

Order = __ "order" __ "by" __ orderBy:Field descending:(__ @("desc" / "asc"))? {
  return { orderBy, descending: descending === 'desc' };
}

Limit = __ "limit" __ limit:Number { return { limit }; }

Field "a field name" = $([a-z] [A-Za-z0-9]*)

Value "a value" = '"' @$[^"]* '"' / $[A-Za-z0-9_.:/-]+

Number "a whole number" = digits:$[0-9]+ { return Number(digits); }

Letter = [A-Za-z0-9]
_ "white space" = [ \t\n]*
__ "white space" = [ \t\n]+
